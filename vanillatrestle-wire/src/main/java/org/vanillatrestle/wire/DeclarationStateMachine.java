package org.vanillatrestle.wire;

import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.log.StateMachine;

/**
 * The declared state as the state machine of a replicated log.
 * <p>
 * Used by the replica's thread alone.
 */
public final class DeclarationStateMachine implements StateMachine {

	private static final byte[] NO_REPLY = new byte[0];

	private DeclaredState state = DeclaredState.NONE;

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
			this.state = this.state.after(index, DeclarationCodec.decodeCommand(command));
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
			this.state = (snapshot.length == 0) ? DeclaredState.NONE : DeclarationCodec.decodeState(snapshot);
		}
		catch (MalformedMessageException ex) {
			throw new IllegalStateException("The snapshot of the declared state can't be read.", ex);
		}
	}

}
