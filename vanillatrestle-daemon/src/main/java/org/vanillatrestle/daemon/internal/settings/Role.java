package org.vanillatrestle.daemon.internal.settings;

/**
 * What a VM does.
 * <p>
 * Immutable and thread safe.
 */
public enum Role {

	/**
	 * Serves callers, targets and peers; needs no disk.
	 */
	ENTRY(false),

	/**
	 * Holds a replica of its data centre's once ledger.
	 */
	LEDGER(true),

	/**
	 * Holds a replica of the contract book.
	 */
	CONTROL(true);

	private final boolean needsDisk;

	Role(boolean needsDisk) {
		this.needsDisk = needsDisk;
	}

	/**
	 * Tells whether the role keeps state on a disk.
	 * @return whether settings must name a data folder
	 */
	public boolean needsDisk() {
		return this.needsDisk;
	}

}
