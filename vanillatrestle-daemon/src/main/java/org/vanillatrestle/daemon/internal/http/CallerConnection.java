package org.vanillatrestle.daemon.internal.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Refusal;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;

/**
 * Handles the requests of one connection sequentially and passes each to the routes once
 * its body is complete.
 * <p>
 * A request is active until its answer has been written to the socket. No request is read
 * after an answer that announced the close of the connection. Memory is bounded: the
 * settings limit the size of the head and of the body, and {@link #MAX_PIPELINED_PARTS}
 * limits the number of buffered parts of pipelined requests. Must be called on the VM's
 * event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final int MAX_PIPELINED_PARTS = 32;

	/**
	 * Maximum time to wait for the peer to close the connection after the last answer. A
	 * socket closed with unread input is reset, which may destroy an unread answer.
	 */
	private static final long LINGER_MILLIS = 500;

	private final HttpLimits limits;

	private final BodyMemory memory;

	private final HttpRoutes routes;

	private final BooleanSupplier shuttingDown;

	private final AtomicInteger activeRequests;

	private final AtomicLong startedRequests;

	private final Deque<HttpObject> pipelinedParts = new ArrayDeque<>();

	private HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private int reservedBytes;

	private long quietSinceNanos;

	private boolean requestActive;

	private boolean answerPassed;

	private boolean closing;

	private boolean stopping;

	private HttpAnswerSink sink;

	private ConnectionListener listener;

	private Future<?> timer;

	CallerConnection(HttpLimits limits, BodyMemory memory, HttpRoutes routes, BooleanSupplier shuttingDown,
			AtomicInteger activeRequests, AtomicLong startedRequests) {
		this.limits = limits;
		this.memory = memory;
		this.routes = routes;
		this.shuttingDown = shuttingDown;
		this.activeRequests = activeRequests;
		this.startedRequests = startedRequests;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		startIdleTimer(context);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof HttpObject http)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.requestActive && !this.closing) {
			this.pipelinedParts.add(http);
			context.channel().config().setAutoRead(this.pipelinedParts.size() < MAX_PIPELINED_PARTS);
			return;
		}
		read(context, http);
	}

	private void read(ChannelHandlerContext context, HttpObject http) {
		if (this.closing) {
			ReferenceCountUtil.release(http);
			return;
		}
		if (http.decoderResult().isFailure()) {
			ReferenceCountUtil.release(http);
			reject(context, decodingRefusal(http.decoderResult().cause()));
			return;
		}
		if (http instanceof HttpRequest request) {
			startRequest(context, request);
		}
		if (http instanceof HttpContent content) {
			readBody(context, content);
		}
	}

	private Refusal decodingRefusal(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			return Refusals.headTooLarge(this.limits.maxHeadBytes());
		}
		return Refusals.malformedHttp(String.valueOf(cause.getMessage()));
	}

	private void startRequest(ChannelHandlerContext context, HttpRequest request) {
		this.head = request;
		this.startedRequests.incrementAndGet();
		startTimer(context, this.limits.bodyTimeoutMillis(),
				() -> reject(context, Refusals.bodyTooSlow(this.limits.bodyTimeoutMillis())));
		if (HttpUtil.getContentLength(request, 0L) > this.limits.maxBodyBytes()) {
			reject(context, Refusals.bodyTooLarge(this.limits.maxBodyBytes()));
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void readBody(ChannelHandlerContext context, HttpContent content) {
		try {
			if (this.closing || this.head == null) {
				return;
			}
			if (!append(context, content.content())) {
				return;
			}
		}
		finally {
			content.release();
		}
		if (content instanceof LastHttpContent) {
			complete(context);
		}
	}

	private boolean append(ChannelHandlerContext context, ByteBuf data) {
		int bytes = data.readableBytes();
		if (bytes == 0) {
			return true;
		}
		if (this.reservedBytes + bytes > this.limits.maxBodyBytes()) {
			reject(context, Refusals.bodyTooLarge(this.limits.maxBodyBytes()));
			return false;
		}
		if (!this.memory.reserve(bytes)) {
			reject(context, Refusals.memoryFull());
			return false;
		}
		this.reservedBytes += bytes;
		if (this.body == Unpooled.EMPTY_BUFFER) {
			this.body = Unpooled.buffer(bytes);
		}
		this.body.writeBytes(data);
		return true;
	}

	private void complete(ChannelHandlerContext context) {
		stopTimer();
		HttpRequest request = this.head;
		byte[] bytes = new byte[this.body.readableBytes()];
		this.body.readBytes(bytes);
		releaseBody();
		this.head = null;
		this.requestActive = true;
		this.activeRequests.incrementAndGet();
		this.answerPassed = false;
		this.sink = newSink(context, request.protocolVersion(), HttpUtil.isKeepAlive(request));
		ConnectionListener routeListener = serve(request, bytes, this.sink);
		this.listener = this.answerPassed ? null : routeListener;
	}

	private HttpAnswerSink newSink(ChannelHandlerContext context, HttpVersion version, boolean keepAlive) {
		return new HttpAnswerSink(context, version, keepAlive, this.quietSinceNanos, this.shuttingDown,
				(written, closes) -> answerCompleted(context, written, closes));
	}

	private ConnectionListener serve(HttpRequest request, byte[] bytes, AnswerSink answerSink) {
		if (this.stopping) {
			answerSink.refuse(Refusals.shuttingDown());
			return null;
		}
		String uri = request.uri();
		int queryStart = uri.indexOf('?');
		String path = (queryStart < 0) ? uri : uri.substring(0, queryStart);
		String query = (queryStart < 0) ? "" : uri.substring(queryStart + 1);
		if (!path.startsWith("/")) {
			answerSink.refuse(Refusals.malformedHttp("the path must begin with /"));
			return null;
		}
		return this.routes.serve(new CallerRequest(request.method().name(), path, query, request.headers(), bytes),
				answerSink);
	}

	private void answerCompleted(ChannelHandlerContext context, ChannelFuture written, boolean closesConnection) {
		releaseMemory();
		this.answerPassed = true;
		this.listener = null;
		this.sink = null;
		this.closing = closesConnection || this.stopping;
		if (!written.isDone()) {
			closeWhenStalled(context, unwrittenBytes(context));
		}
		written.addListener((done) -> answerWritten(context, done.isSuccess()));
	}

	private void answerWritten(ChannelHandlerContext context, boolean succeeded) {
		markIdle();
		if (!succeeded || !context.channel().isActive()) {
			context.close();
			return;
		}
		if (this.closing) {
			closeAfterPeer(context);
			return;
		}
		startIdleTimer(context);
		context.executor().execute(() -> readPipelined(context));
	}

	private void closeWhenStalled(ChannelHandlerContext context, long bytesBefore) {
		startTimer(context, this.limits.idleTimeoutMillis(), () -> {
			long bytes = unwrittenBytes(context);
			if (bytes >= bytesBefore) {
				context.close();
				return;
			}
			closeWhenStalled(context, bytes);
		});
	}

	private static long unwrittenBytes(ChannelHandlerContext context) {
		ChannelOutboundBuffer output = context.channel().unsafe().outboundBuffer();
		return (output != null) ? output.totalPendingWriteBytes() - output.currentProgress() : 0;
	}

	private void closeAfterPeer(ChannelHandlerContext context) {
		this.pipelinedParts.forEach(ReferenceCountUtil::release);
		this.pipelinedParts.clear();
		if (!(context.channel() instanceof DuplexChannel channel)) {
			context.close();
			return;
		}
		startTimer(context, LINGER_MILLIS, context::close);
		channel.config().setAutoRead(true);
		channel.shutdownOutput();
	}

	private void markIdle() {
		if (this.requestActive) {
			this.requestActive = false;
			this.activeRequests.decrementAndGet();
		}
	}

	private void readPipelined(ChannelHandlerContext context) {
		while (!this.requestActive && !this.pipelinedParts.isEmpty()) {
			read(context, this.pipelinedParts.poll());
		}
		if (context.channel().isActive()) {
			context.channel().config().setAutoRead(this.pipelinedParts.size() < MAX_PIPELINED_PARTS);
		}
	}

	private void reject(ChannelHandlerContext context, Refusal refusal) {
		stopTimer();
		this.closing = true;
		this.head = null;
		releaseBody();
		releaseMemory();
		newSink(context, HttpVersion.HTTP_1_1, false).refuse(refusal);
	}

	private void startIdleTimer(ChannelHandlerContext context) {
		this.quietSinceNanos = System.nanoTime();
		startTimer(context, this.limits.idleTimeoutMillis(), context::close);
	}

	private void startTimer(ChannelHandlerContext context, long delayMillis, Runnable action) {
		stopTimer();
		this.timer = context.executor().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private void releaseBody() {
		this.body.release();
		this.body = Unpooled.EMPTY_BUFFER;
	}

	private void releaseMemory() {
		this.memory.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (event instanceof ServerStop stop) {
			stop(stop);
			return;
		}
		if (event == ServerStop.READ && !this.requestActive && !this.closing && this.head == null) {
			context.close();
			return;
		}
		super.userEventTriggered(context, event);
	}

	private void stop(ServerStop stop) {
		this.stopping = true;
		if (!this.requestActive) {
			return;
		}
		if (this.answerPassed) {
			stop.countUnwrittenAnswer();
			this.closing = true;
			return;
		}
		stop.countEndedRequest();
		endListener();
		this.sink.stop();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.listener != null) {
			this.listener.writabilityChanged();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		stopTimer();
		markIdle();
		releaseBody();
		releaseMemory();
		this.pipelinedParts.forEach(ReferenceCountUtil::release);
		this.pipelinedParts.clear();
		endListener();
	}

	private void endListener() {
		if (this.listener != null) {
			ConnectionListener disconnected = this.listener;
			this.listener = null;
			disconnected.disconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
