package org.vanillatrestle.wire;

import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.internal.once.LedgerOutcome;
import org.vanillatrestle.internal.once.OnceLedger;

/**
 * Lets the replicated log drive a once ledger.
 * <p>
 * Not thread safe. A command that can't be read has no effect, on every replica alike.
 */
public final class LedgerStateMachine implements StateMachine {

	private static final LedgerOutcome UNREADABLE = new LedgerOutcome.Ignored();

	private final OnceLedger ledger;

	/**
	 * Creates the adapter.
	 * @param ledger the ledger
	 */
	public LedgerStateMachine(OnceLedger ledger) {
		this.ledger = ledger;
	}

	/**
	 * Returns the ledger, to be used by the thread that applies commands only.
	 * @return the ledger
	 */
	public OnceLedger ledger() {
		return this.ledger;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		try {
			return LedgerCommandCodec.encode(this.ledger.apply(index, LedgerCommandCodec.decodeCommand(command)));
		}
		catch (MalformedStateException ex) {
			return LedgerCommandCodec.encode(UNREADABLE);
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
		}
		catch (MalformedStateException ex) {
			throw new IllegalStateException("The snapshot of the once ledger can't be read.", ex);
		}
	}

}
