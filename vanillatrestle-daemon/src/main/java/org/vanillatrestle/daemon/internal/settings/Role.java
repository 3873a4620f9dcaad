package org.vanillatrestle.daemon.internal.settings;

/**
 * The role of a VM; a VM can have several.
 * <p>
 * Immutable and thread safe.
 */
public enum Role {

	/**
	 * Serves callers, targets and peers; needs no persistent storage.
	 */
	ENTRY(false),

	/**
	 * Stores a replica of its data centre's once ledger.
	 */
	LEDGER(true),

	/**
	 * Stores a replica of the contract book.
	 */
	CONTROL(true);

	private final boolean hasPersistentState;

	Role(boolean hasPersistentState) {
		this.hasPersistentState = hasPersistentState;
	}

	/**
	 * Returns whether the role stores state on disk.
	 * @return whether the settings must specify a data folder
	 */
	public boolean hasPersistentState() {
		return this.hasPersistentState;
	}

}
