package org.vanillatrestle.wire.internal.link;

import org.vanillatrestle.wire.ForwardStream;

/**
 * The sender's end of a request that had no link to go to.
 * <p>
 * Immutable and thread safe.
 */
public final class ClosedStream implements ForwardStream {

	@Override
	public boolean isBodyWritable() {
		return false;
	}

	@Override
	public void writeBody(byte[] data, boolean last) {
	}

	@Override
	public void consumed(int bytes) {
	}

	@Override
	public void cancel(String reason) {
	}

}
