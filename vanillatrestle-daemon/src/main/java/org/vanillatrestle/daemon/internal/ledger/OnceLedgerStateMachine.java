package org.vanillatrestle.daemon.internal.ledger;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.internal.once.LedgerLimits;
import org.vanillatrestle.internal.once.OnceLedger;
import org.vanillatrestle.internal.once.OnceWaiters;
import org.vanillatrestle.wire.LedgerStateMachine;

/**
 * The once ledger as the state machine of a replicated log, together with the resends
 * that wait on this replica.
 * <p>
 * Only used on the replica's thread, except where a method says otherwise.
 */
final class OnceLedgerStateMachine implements StateMachine {

	private static final int MAX_WAITERS = 4_096;

	private final OnceWaiters waiters = new OnceWaiters(MAX_WAITERS);

	private final LedgerStateMachine machine;

	private volatile String issuedPrefix;

	OnceLedgerStateMachine(DataCentreId dataCentre) {
		this.machine = new LedgerStateMachine(new OnceLedger(dataCentre, LedgerLimits.DEFAULT, this.waiters));
	}

	OnceLedger ledger() {
		return this.machine.ledger();
	}

	OnceWaiters waiters() {
		return this.waiters;
	}

	/**
	 * Returns the prefix of the keys that are currently issued. May be called from any
	 * thread.
	 * @return the prefix, or {@code null} while the ledger is not open
	 */
	String issuedPrefix() {
		return this.issuedPrefix;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		byte[] reply = this.machine.apply(index, command);
		publishPrefix();
		return reply;
	}

	@Override
	public byte[] snapshot() {
		return this.machine.snapshot();
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		this.machine.restore(index, snapshot);
		publishPrefix();
		this.waiters.runAllWaiters();
	}

	private void publishPrefix() {
		this.issuedPrefix = ledger().issuedPrefix().orElse(null);
	}

}
