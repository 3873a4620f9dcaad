package org.vanillatrestle.daemon.internal.http;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.Refusal;
import org.vanillatrestle.daemon.internal.pipeline.RefusalWriter;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;

/**
 * Writes the answer to one request to the caller's connection.
 * <p>
 * Must be called on the VM's event loop. Whether the connection is kept is decided when
 * the head of the answer is written. {@link #abort()} resets the connection without
 * writing a final chunk.
 */
final class HttpAnswerSink implements AnswerSink {

	private final ChannelHandlerContext context;

	private final HttpVersion version;

	private final boolean keepAlive;

	private final BooleanSupplier shuttingDown;

	private final CompletionListener listener;

	private final long maxRequestAgeMillis;

	private boolean closesConnection;

	private boolean headWritten;

	private boolean complete;

	/**
	 * Creates a sink for the answer to a request that has just been read.
	 * @param context the connection
	 * @param version the HTTP version of the request
	 * @param keepAlive whether the caller wants to keep the connection
	 * @param quietSinceNanos the monotonic time at which the connection was opened or its
	 * previous answer was written
	 * @param shuttingDown whether the VM is shutting down
	 * @param listener is notified when the answer is complete
	 */
	HttpAnswerSink(ChannelHandlerContext context, HttpVersion version, boolean keepAlive, long quietSinceNanos,
			BooleanSupplier shuttingDown, CompletionListener listener) {
		this.context = context;
		this.version = version;
		this.keepAlive = keepAlive;
		this.maxRequestAgeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - quietSinceNanos);
		this.shuttingDown = shuttingDown;
		this.listener = listener;
	}

	@Override
	public void answer(AnswerHead head, byte[] body) {
		if (this.complete) {
			return;
		}
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()), Unpooled.wrappedBuffer(body));
		response.headers().set(head.headers());
		if (hasBody(head.status())) {
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		setConnectionHeader(response);
		finish(this.context.writeAndFlush(response));
	}

	private static boolean hasBody(int status) {
		return status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
	}

	@Override
	public void head(AnswerHead head) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()));
		response.headers().set(head.headers());
		if (HttpVersion.HTTP_1_1.equals(this.version)) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		setConnectionHeader(response);
		this.headWritten = true;
		this.context.writeAndFlush(response);
	}

	private void setConnectionHeader(HttpResponse response) {
		this.closesConnection = !this.keepAlive || this.shuttingDown.getAsBoolean();
		if (this.closesConnection) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	@Override
	public void body(ByteBuf data) {
		if (this.complete) {
			data.release();
			return;
		}
		this.context.writeAndFlush(new DefaultHttpContent(data));
	}

	@Override
	public void end() {
		if (this.complete) {
			return;
		}
		finish(this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
	}

	private void finish(ChannelFuture written) {
		this.complete = true;
		this.listener.answerCompleted(written, this.closesConnection);
	}

	@Override
	public void abort() {
		if (this.complete) {
			return;
		}
		this.complete = true;
		Channel channel = this.context.channel();
		if (channel.isActive()) {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		channel.close();
	}

	/**
	 * Ends the answer because the VM stops: with an error, or by closing the connection
	 * after the parts that were sent.
	 */
	void stop() {
		if (!this.headWritten) {
			refuse(Refusals.stopped());
			return;
		}
		if (HttpVersion.HTTP_1_0.equals(this.version)) {
			abort();
			return;
		}
		this.complete = true;
		this.context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void refuse(Refusal refusal, AnswerHead head) {
		answer(head, RefusalWriter.body(refusal));
	}

	@Override
	public long maxRequestAgeMillis() {
		return this.maxRequestAgeMillis;
	}

	@Override
	public boolean isWritable() {
		return this.context.channel().isWritable();
	}

	/**
	 * Notified once, when the whole answer has been passed to the channel.
	 */
	interface CompletionListener {

		/**
		 * Called when the last byte of the answer has been passed to the channel.
		 * @param written completes when that byte has been written to the socket
		 * @param closesConnection whether the answer announced that the connection closes
		 */
		void answerCompleted(ChannelFuture written, boolean closesConnection);

	}

}
