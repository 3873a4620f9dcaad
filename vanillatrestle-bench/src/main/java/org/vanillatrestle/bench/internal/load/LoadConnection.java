package org.vanillatrestle.bench.internal.load;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Reads the answers of one connection, one exchange at a time.
 * <p>
 * Confined to the client's event loop.
 */
final class LoadConnection extends SimpleChannelInboundHandler<HttpObject> {

	private final Runnable onIdle;

	private Exchange exchange;

	private boolean reusable = true;

	LoadConnection(Runnable onIdle) {
		this.onIdle = onIdle;
	}

	void begin(Exchange next) {
		this.exchange = next;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (this.exchange == null) {
			context.close();
			return;
		}
		if (!message.decoderResult().isSuccess()) {
			context.close();
			return;
		}
		if (message instanceof HttpResponse response) {
			this.reusable = HttpUtil.isKeepAlive(response);
			this.exchange.head(response);
		}
		if (message instanceof HttpContent content) {
			this.exchange.content(content.content(), System.nanoTime());
		}
		if (message instanceof LastHttpContent) {
			end(context);
		}
	}

	private void end(ChannelHandlerContext context) {
		Exchange ended = this.exchange;
		this.exchange = null;
		if (this.reusable) {
			this.onIdle.run();
		}
		else {
			context.close();
		}
		ended.end(System.nanoTime());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.exchange != null) {
			Exchange broken = this.exchange;
			this.exchange = null;
			broken.broken();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
