package org.vanillatrestle.wire;

import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.vanillatrestle.wire.generated.peer.Envelope;

/**
 * Injects one fault into the n-th message of a kind that any of the nodes sends once the
 * plan is armed.
 */
final class FaultPlan {

	private static final int HOLD_MILLIS = 15;

	private final Envelope.MessageCase kind;

	private final Fault fault;

	private final Consumer<PeerNode> kill;

	private int countdown;

	private boolean armed;

	boolean fired;

	FaultPlan(Envelope.MessageCase kind, int occurrence, Fault fault, Consumer<PeerNode> kill) {
		this.kind = kind;
		this.countdown = occurrence;
		this.fault = fault;
		this.kill = kill;
	}

	void arm() {
		this.armed = true;
	}

	ChannelHandler handler(PeerNode sender, PeerNode receiver) {
		return new Injector(sender, receiver);
	}

	/**
	 * Sits between the codec and the link of one node.
	 */
	private final class Injector extends ChannelDuplexHandler {

		private final PeerNode sender;

		private final PeerNode receiver;

		private Envelope held;

		private boolean reset;

		Injector(PeerNode sender, PeerNode receiver) {
			this.sender = sender;
			this.receiver = receiver;
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			if (this.reset) {
				promise.setFailure(new ClosedChannelException());
				return;
			}
			Envelope envelope = (Envelope) message;
			if (!isHit(envelope)) {
				context.write(message, promise);
				releaseHeld(context);
				return;
			}
			FaultPlan.this.fired = true;
			inject(context, envelope, promise);
		}

		private boolean isHit(Envelope envelope) {
			FaultPlan plan = FaultPlan.this;
			return plan.armed && !plan.fired && envelope.getMessageCase() == plan.kind && --plan.countdown == 0;
		}

		private void inject(ChannelHandlerContext context, Envelope envelope, ChannelPromise promise) {
			switch (FaultPlan.this.fault) {
				case LOST -> promise.setSuccess();
				case LATE -> {
					promise.setSuccess();
					context.executor()
						.schedule(() -> context.writeAndFlush(envelope), HOLD_MILLIS, TimeUnit.MILLISECONDS);
				}
				case TWICE -> {
					context.write(envelope);
					context.write(envelope, promise);
				}
				case OUT_OF_ORDER -> {
					promise.setSuccess();
					this.held = envelope;
					context.executor().schedule(() -> releaseHeld(context), HOLD_MILLIS, TimeUnit.MILLISECONDS);
				}
				case RESET_BEFORE -> {
					context.close();
					promise.setFailure(new ClosedChannelException());
				}
				case RESET_DURING -> resetDuring(context, envelope, promise);
				case RESET_AFTER -> context.writeAndFlush(envelope, promise).addListener(ChannelFutureListener.CLOSE);
				case SENDER_KILLED -> {
					context.writeAndFlush(envelope, promise);
					FaultPlan.this.kill.accept(this.sender);
				}
				default -> {
					context.writeAndFlush(envelope, promise);
					FaultPlan.this.kill.accept(this.receiver);
				}
			}
		}

		private void resetDuring(ChannelHandlerContext context, Envelope envelope, ChannelPromise promise) {
			this.reset = true;
			byte[] bytes = envelope.toByteArray();
			ByteBuf half = context.alloc().buffer();
			half.writeInt(bytes.length).writeBytes(bytes, 0, bytes.length / 2);
			context.writeAndFlush(half).addListener(ChannelFutureListener.CLOSE);
			promise.setFailure(new ClosedChannelException());
		}

		private void releaseHeld(ChannelHandlerContext context) {
			if (this.held != null) {
				Envelope envelope = this.held;
				this.held = null;
				context.writeAndFlush(envelope);
			}
		}

	}

}
