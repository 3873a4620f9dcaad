package org.vanillatrestle.daemon.internal.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AttemptHandle;
import org.vanillatrestle.daemon.internal.pipeline.AttemptListener;

/**
 * One attempt to send a request to a target and to receive its response.
 * <p>
 * The listener is not notified after the attempt has ended. The verdict is
 * {@link Verdict#NOT_RUN} only as long as no byte was passed to a connected socket. Used
 * only on the VM's event loop.
 */
final class TargetAttempt implements AttemptHandle {

	private final TargetRequest request;

	private final AttemptListener listener;

	private Channel channel;

	private boolean reading = true;

	private boolean done;

	TargetAttempt(TargetRequest request, AttemptListener listener) {
		this.request = request;
		this.listener = listener;
	}

	TargetRequest request() {
		return this.request;
	}

	void onConnected(ChannelFuture future) {
		if (this.done) {
			future.channel().close();
			return;
		}
		if (!future.isSuccess()) {
			fail("connecting to the target failed: " + future.cause().getMessage());
			return;
		}
		start(future.channel());
	}

	void start(Channel connection) {
		this.channel = connection;
		connection.pipeline().get(TargetConnection.class).beginAttempt(this);
		connection.config().setAutoRead(this.reading);
		connection.writeAndFlush(toHttpRequest()).addListener((future) -> {
			if (!future.isSuccess()) {
				fail("sending the request failed: " + future.cause().getMessage());
			}
		});
	}

	private FullHttpRequest toHttpRequest() {
		ByteBuf body = Unpooled.wrappedBuffer(this.request.body());
		FullHttpRequest httpRequest = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(this.request.method()), this.request.path(), body,
				DefaultHttpHeadersFactory.headersFactory().newHeaders(), EmptyHttpHeaders.INSTANCE);
		httpRequest.headers().set(this.request.headers());
		if (!httpRequest.headers().contains(HttpHeaderNames.HOST)) {
			httpRequest.headers().set(HttpHeaderNames.HOST, this.request.address().toString());
		}
		if (body.isReadable() || !"GET".equals(this.request.method())) {
			httpRequest.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return httpRequest;
	}

	void receiveHead(HttpResponse response) {
		if (this.done) {
			return;
		}
		this.listener.onHead(new AnswerHead(response.status().code(), HopByHopHeaders.copyWithout(response.headers()),
				response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)));
	}

	void receiveBody(ByteBuf data) {
		if (this.done) {
			data.release();
			return;
		}
		this.listener.onBody(data);
	}

	void complete() {
		if (this.done) {
			return;
		}
		this.done = true;
		this.listener.onEnd();
	}

	void fail(String detail) {
		if (this.done) {
			return;
		}
		this.done = true;
		closeChannel();
		this.listener.onFailure(verdict(), detail);
	}

	boolean isDone() {
		return this.done;
	}

	@Override
	public Verdict cancel() {
		if (!this.done) {
			this.done = true;
			closeChannel();
		}
		return verdict();
	}

	@Override
	public void setReading(boolean reading) {
		this.reading = reading;
		if (this.channel != null && !this.done) {
			this.channel.config().setAutoRead(reading);
		}
	}

	private Verdict verdict() {
		return (this.channel != null) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
	}

	private void closeChannel() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
