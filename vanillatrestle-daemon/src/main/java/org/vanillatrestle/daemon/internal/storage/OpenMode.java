package org.vanillatrestle.daemon.internal.storage;

/**
 * How to open a data folder, in particular an empty one.
 */
public enum OpenMode {

	/**
	 * Rejects an empty folder because the VM is known to have had a replica.
	 */
	MUST_EXIST,

	/**
	 * Creates a new replica with a new storage id in an empty folder; the replica is to
	 * join an existing group.
	 */
	JOIN_IF_EMPTY,

	/**
	 * Creates a group whose only member is the new replica. Rejects a folder that
	 * contains a replica, so that this mode can't be left in the start options by
	 * mistake.
	 */
	CREATE_GROUP

}
