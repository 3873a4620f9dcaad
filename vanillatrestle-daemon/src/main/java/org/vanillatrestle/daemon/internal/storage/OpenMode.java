package org.vanillatrestle.daemon.internal.storage;

/**
 * What to do with an empty data folder.
 */
public enum OpenMode {

	/**
	 * Refuses an empty folder: the VM is known to have held a replica.
	 */
	MUST_EXIST,

	/**
	 * Makes an empty folder a new replica, with a new storage id, that is to join a
	 * group.
	 */
	JOIN_IF_EMPTY,

	/**
	 * Founds a group of one. Refuses a folder that holds a replica, so that it can't be a
	 * lasting start option by mistake.
	 */
	FOUND_GROUP

}
