package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;

/**
 * Thrown when a data folder must not be used.
 */
public class StorageException extends IOException {

	private static final long serialVersionUID = 1L;

	private final Reason reason;

	public StorageException(Reason reason, String message) {
		super(message);
		this.reason = reason;
	}

	public StorageException(Reason reason, String message, Throwable cause) {
		super(message, cause);
		this.reason = reason;
	}

	public Reason reason() {
		return this.reason;
	}

	/**
	 * The reason why the data folder must not be used.
	 */
	public enum Reason {

		/**
		 * Another process uses the folder.
		 */
		LOCKED,

		/**
		 * The folder, or a file in it, belongs to another VM or storage.
		 */
		FOREIGN,

		/**
		 * The folder is expected to contain a replica but contains none.
		 */
		EMPTIED,

		/**
		 * The folder already contains a replica.
		 */
		NOT_EMPTY,

		/**
		 * A file that was on disk is missing or damaged.
		 */
		DAMAGED,

		/**
		 * An earlier write or sync failed, so the contents of the disk are unknown.
		 */
		FAILED

	}

}
