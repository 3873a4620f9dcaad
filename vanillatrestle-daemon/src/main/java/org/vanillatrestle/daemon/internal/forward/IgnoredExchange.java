package org.vanillatrestle.daemon.internal.forward;

import org.vanillatrestle.wire.ExchangeListener;

/**
 * Ignores what still comes of a request that was refused at once.
 * <p>
 * Stateless and thread safe.
 */
final class IgnoredExchange implements ExchangeListener {

	@Override
	public void onBody(byte[] data, boolean last) {
	}

	@Override
	public void onCancelled(String reason) {
	}

}
