package org.vanillatrestle.wire.internal.link;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.PeerSettings;

/**
 * Keeps setting up a link to the VM at an address while there is none.
 * <p>
 * Not thread safe: used on the event loop only. Invariant: at most one attempt at a time;
 * the pause between attempts doubles up to a limit and is drawn evenly from its upper
 * half.
 */
public final class Dialer {

	private final InetSocketAddress address;

	private final EventLoop loop;

	private final PeerSettings settings;

	private final UniformRandomProvider random;

	private final Connector connector;

	private int backoffMillis;

	private VmId peer;

	private Channel channel;

	private Future<?> retry;

	private boolean stopped;

	/**
	 * Creates a dialer that does nothing yet.
	 * @param address where the VM listens
	 * @param loop the event loop
	 * @param settings the times
	 * @param random the source of jitter
	 * @param connector sets up a connection
	 */
	public Dialer(InetSocketAddress address, EventLoop loop, PeerSettings settings, UniformRandomProvider random,
			Connector connector) {
		this.address = address;
		this.loop = loop;
		this.settings = settings;
		this.random = random;
		this.connector = connector;
		this.backoffMillis = settings.minBackoffMillis();
	}

	/**
	 * Returns the VM that answered at the address.
	 * @return the VM, {@code null} before the first hello
	 */
	public VmId peer() {
		return this.peer;
	}

	/**
	 * Makes an attempt now.
	 */
	public void dial() {
		this.retry = null;
		if (this.stopped || this.channel != null || this.connector.isLinked(this.peer)) {
			return;
		}
		ChannelFuture attempt = this.connector.connect(this.address, this);
		this.channel = attempt.channel();
		this.channel.closeFuture().addListener((closed) -> this.loop.execute(this::lost));
	}

	/**
	 * Notes who answered.
	 * @param vm the VM at the address
	 */
	public void answered(VmId vm) {
		this.peer = vm;
		this.backoffMillis = this.settings.minBackoffMillis();
	}

	/**
	 * Notes that the last link to a VM was lost.
	 * @param vm the VM
	 */
	public void linkLost(VmId vm) {
		if (vm.equals(this.peer)) {
			scheduleRetry();
		}
	}

	/**
	 * Ends the attempts; a link that is up stays.
	 */
	public void stop() {
		this.stopped = true;
		if (this.retry != null) {
			this.retry.cancel(false);
		}
	}

	private void lost() {
		this.channel = null;
		scheduleRetry();
	}

	private void scheduleRetry() {
		if (this.stopped || this.retry != null || this.channel != null) {
			return;
		}
		int half = this.backoffMillis / 2;
		int pauseMillis = half + this.random.nextInt(half + 1);
		this.backoffMillis = Math.min(this.backoffMillis * 2, this.settings.maxBackoffMillis());
		this.retry = this.loop.schedule(this::dial, pauseMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets up connections.
	 */
	public interface Connector {

		/**
		 * Begins to connect.
		 * @param address where to
		 * @param dialer who asks
		 * @return the attempt
		 */
		ChannelFuture connect(InetSocketAddress address, Dialer dialer);

		/**
		 * Tells whether there is a link to a VM.
		 * @param vm the VM, may be {@code null}
		 * @return whether a link is up
		 */
		boolean isLinked(VmId vm);

	}

}
