package org.vanillatrestle.daemon.internal.forward;

import org.vanillatrestle.wire.ExchangeListener;

/**
 * Discards the remaining events of a request that was refused before its body arrived.
 * <p>
 * Stateless and thread safe.
 */
final class DiscardingExchangeListener implements ExchangeListener {

	@Override
	public void onBody(byte[] data, boolean last) {
	}

	@Override
	public void onCancelled(String reason) {
	}

}
