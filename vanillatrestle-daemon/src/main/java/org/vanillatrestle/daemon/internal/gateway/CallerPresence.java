package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;

/**
 * Tells whether the caller of an order still waits for it.
 * <p>
 * An order that is read may be old: it lay in the socket's buffer while this VM was
 * frozen, or was held up by a cut. By then its caller may have closed the connection, had
 * the order acknowledged by another VM and given the opposite one. The close follows the
 * order on the same connection, so it is known shortly after the order has been read. An
 * order carries no time of its own, and clocks differ between VMs, so one that can't be
 * old is told by its connection, which has just been opened. Used only on the VM's event
 * loop.
 */
final class CallerPresence implements ConnectionListener {

	/**
	 * The time in which the close of a connection follows the last bytes sent on it, a
	 * round trip between regions and some more.
	 */
	static final long SETTLE_MILLIS = 200;

	/**
	 * The time for which an order may be carried out after it was read. Callers ask
	 * another VM after one second.
	 */
	private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	/**
	 * The age up to which the caller of an order certainly still waits.
	 */
	private static final long MAX_TRUSTED_AGE_MILLIS = 150;

	private final EventLoop loop;

	private final boolean mayBeOld;

	private final long receivedNanos = System.nanoTime();

	private boolean closed;

	/**
	 * Creates the presence of a caller whose order has just been read.
	 * @param loop the VM's event loop
	 * @param maxAgeMillis the longest time for which the order can have been on its way
	 * @param stalled whether it may have arrived before the VM was frozen
	 */
	CallerPresence(EventLoop loop, long maxAgeMillis, boolean stalled) {
		this.loop = loop;
		this.mayBeOld = stalled || maxAgeMillis > MAX_TRUSTED_AGE_MILLIS;
	}

	/**
	 * Waits until a close that has already been sent would be known, if the order may be
	 * old.
	 * @param ifWaiting runs if the caller still waits then
	 * @param otherwise runs if it has gone
	 */
	void whenSettled(Runnable ifWaiting, Runnable otherwise) {
		if (!this.mayBeOld) {
			ifWaiting.run();
			return;
		}
		this.loop.schedule(() -> (isWaiting() ? ifWaiting : otherwise).run(), SETTLE_MILLIS, TimeUnit.MILLISECONDS);
	}

	boolean isWaiting() {
		return !this.closed && System.nanoTime() - this.receivedNanos < PATIENCE_NANOS;
	}

	@Override
	public void disconnected() {
		this.closed = true;
	}

	@Override
	public void writabilityChanged() {
		// the answers are short
	}

}
