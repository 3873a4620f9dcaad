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
 * One request to a target and its answer.
 * <p>
 * The listener hears nothing after the attempt is done. The verdict is
 * {@link Verdict#NOT_RUN} only as long as no byte was handed to a connected socket. Used
 * on the VM's event loop.
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
			fail("no connection: " + future.cause().getMessage());
			return;
		}
		start(future.channel());
	}

	void start(Channel connection) {
		this.channel = connection;
		connection.pipeline().get(TargetConnection.class).beginAttempt(this);
		connection.config().setAutoRead(this.reading);
		connection.writeAndFlush(toHttp()).addListener((future) -> {
			if (!future.isSuccess()) {
				fail("the request could not be sent: " + future.cause().getMessage());
			}
		});
	}

	private FullHttpRequest toHttp() {
		ByteBuf body = Unpooled.wrappedBuffer(this.request.body());
		FullHttpRequest http = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(this.request.method()), this.request.path(), body,
				DefaultHttpHeadersFactory.headersFactory().newHeaders(), EmptyHttpHeaders.INSTANCE);
		http.headers().set(this.request.headers());
		if (!http.headers().contains(HttpHeaderNames.HOST)) {
			http.headers().set(HttpHeaderNames.HOST, this.request.address().toString());
		}
		if (body.isReadable() || !"GET".equals(this.request.method())) {
			http.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return http;
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
