package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;

/**
 * A data folder that must not be used.
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
	 * Why the folder is refused.
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
		 * The folder should hold a replica and holds none.
		 */
		EMPTIED,

		/**
		 * The folder already holds a replica.
		 */
		NOT_EMPTY,

		/**
		 * A file that was on disk is missing or changed.
		 */
		DAMAGED,

		/**
		 * An earlier write or sync failed; what is on disk is not known any more.
		 */
		FAILED

	}

}
