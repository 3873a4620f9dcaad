package org.vanillatrestle.daemon.internal.ledger;

import org.jboss.logging.Logger;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.internal.once.LedgerLimits;
import org.vanillatrestle.internal.once.OnceLedger;
import org.vanillatrestle.internal.once.OnceWaiters;
import org.vanillatrestle.wire.LedgerCommandCodec;
import org.vanillatrestle.wire.LedgerStateCodec;
import org.vanillatrestle.wire.MalformedStateException;

/**
 * The once ledger as the state machine of a replicated log, with the resends that wait on
 * this replica.
 * <p>
 * Used by the replica's thread alone.
 */
final class LedgerMachine implements StateMachine {

	private static final Logger logger = Logger.getLogger(LedgerMachine.class);

	private static final int MAX_WAITERS = 4_096;

	private final OnceWaiters waiters = new OnceWaiters(MAX_WAITERS);

	private final OnceLedger ledger;

	private volatile String issuedPrefix;

	LedgerMachine(DataCentreId dataCentre) {
		this.ledger = new OnceLedger(dataCentre, LedgerLimits.DEFAULT, this.waiters);
	}

	OnceLedger ledger() {
		return this.ledger;
	}

	OnceWaiters waiters() {
		return this.waiters;
	}

	/**
	 * Returns the prefix of keys now issued. May be called by any thread.
	 * @return the prefix, or {@code null} while the ledger is not open
	 */
	String issuedPrefix() {
		return this.issuedPrefix;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		try {
			byte[] reply = LedgerCommandCodec
				.encode(this.ledger.apply(index, LedgerCommandCodec.decodeCommand(command)));
			this.issuedPrefix = this.ledger.issuedPrefix().orElse(null);
			return reply;
		}
		catch (MalformedStateException ex) {
			logger.errorf("Ledger: the command at index %d can't be read and changes nothing.", index);
			return new byte[0];
		}
	}

	@Override
	public byte[] snapshot() {
		return LedgerStateCodec.encode(this.ledger.snapshot());
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		try {
			this.ledger.restore(LedgerStateCodec.decodeSnapshot(snapshot));
			this.issuedPrefix = this.ledger.issuedPrefix().orElse(null);
			this.waiters.settleAll();
		}
		catch (MalformedStateException ex) {
			throw new IllegalStateException("The snapshot of the once ledger can't be read.", ex);
		}
	}

}
