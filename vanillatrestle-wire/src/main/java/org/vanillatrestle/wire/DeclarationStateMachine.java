package org.vanillatrestle.wire;

import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.declaration.EvacuationOrderLog;
import org.vanillatrestle.internal.log.StateMachine;

/**
 * The declared state as the state machine of a replicated log.
 * <p>
 * Used by the replica's thread alone.
 */
public final class DeclarationStateMachine implements StateMachine {

	private static final byte[] NO_REPLY = new byte[0];

	private final EvacuationOrderLog orders;

	private DeclaredState state = DeclaredState.NONE;

	/**
	 * Creates a state machine without any state.
	 * @param orders records the evacuation orders that are applied
	 */
	public DeclarationStateMachine(EvacuationOrderLog orders) {
		this.orders = orders;
	}

	/**
	 * Returns the state after the last command applied.
	 * @return the state
	 */
	public DeclaredState state() {
		return this.state;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		try {
			DeclarationCommand decoded = DeclarationCodec.decodeCommand(command);
			DeclaredState after = this.state.after(index, decoded);
			this.orders.apply(index, decoded, after);
			this.state = after;
			return NO_REPLY;
		}
		catch (MalformedMessageException ex) {
			throw new IllegalStateException("A command of the declared state can't be read.", ex);
		}
	}

	@Override
	public byte[] snapshot() {
		return DeclarationCodec.encode(this.state);
	}

	@Override
	public void restore(long index, byte[] snapshot) {
		try {
			this.orders.restore(index);
			this.state = (snapshot.length == 0) ? DeclaredState.NONE : DeclarationCodec.decodeState(snapshot);
		}
		catch (MalformedMessageException ex) {
			throw new IllegalStateException("The snapshot of the declared state can't be read.", ex);
		}
	}

}
