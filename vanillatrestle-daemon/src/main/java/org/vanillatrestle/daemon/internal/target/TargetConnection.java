package org.vanillatrestle.daemon.internal.target;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;

/**
 * Passes the responses received on one connection to the attempt in progress.
 * <p>
 * At most one attempt uses the connection at a time. Responses that belong to another
 * request, or to none, are skipped, and the connection is not reused after them. The
 * attempt fails if the end of its response can't be distinguished from a broken
 * connection, if the parts of two responses are joined, or if too much data arrives that
 * belongs to no request. Used only on the VM's event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

	private static final String KEEP_ALIVE = "Keep-Alive";

	private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

	private static final long DEFAULT_IDLE_MILLIS = 60_000;

	/**
	 * Maximum number of responses skipped before the response to a request. One late
	 * response and a few informational ones are normal.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 16;

	/**
	 * Maximum number of skipped body bytes, which belong to no request. Equal to the
	 * maximum size of a response.
	 */
	private static final int MAX_SKIPPED_BYTES = HttpLimits.DEFAULT.maxBodyBytes();

	/**
	 * A status line within a header: the head of another response was broken off there.
	 */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}( |$)");

	/**
	 * Maximum pause in the body of a skipped response.
	 */
	private static final long MAX_SKIP_PAUSE_MILLIS = 250;

	private final TargetClient client;

	private final TargetResponseDecoder decoder;

	private TargetAttempt attempt;

	private TargetRequest lastRequest;

	private boolean keepAlive;

	// whether a complete response has made the connection reusable, once all input that
	// was received with it has been processed
	private boolean reusable;

	private boolean informational;

	private boolean unrelated;

	// whether the target has sent a response that does not belong to a request
	private boolean outOfStep;

	private int skippedResponses;

	private long skippedBytes;

	private long idleMillis = DEFAULT_IDLE_MILLIS;

	TargetConnection(TargetClient client, TargetResponseDecoder decoder) {
		this.client = client;
		this.decoder = decoder;
	}

	void beginAttempt(TargetAttempt newAttempt) {
		this.attempt = newAttempt;
		this.lastRequest = newAttempt.request();
		this.decoder.expectResponse(this.lastRequest.method());
		this.skippedResponses = 0;
		this.skippedBytes = 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.attempt == null) {
			ReferenceCountUtil.release(message);
			context.close();
			return;
		}
		if (message instanceof HttpObject http && http.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			this.attempt.fail("the target's response is not valid HTTP");
			return;
		}
		if (message instanceof HttpResponse response) {
			readHead(context, response);
		}
		if (message instanceof HttpContent content) {
			readContent(context, content);
		}
	}

	private void readHead(ChannelHandlerContext context, HttpResponse response) {
		if (hasStatusLineInHeader(response)) {
			this.attempt.fail("the heads of two responses of the target are joined");
			return;
		}
		this.informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		this.unrelated = !this.informational && !this.lastRequest.isOwnResponse().test(response.headers());
		if (this.informational || this.unrelated) {
			this.outOfStep |= this.unrelated;
			this.skippedResponses++;
			failIfSkipLimitExceeded();
			failIfSkipStalls(context);
			return;
		}
		this.keepAlive = HttpUtil.isKeepAlive(response) && !this.outOfStep;
		this.idleMillis = idleMillis(response.headers().get(KEEP_ALIVE));
		if (!this.client.isCloseDelimitedAllowed() && !hasKnownEnd(response)) {
			this.attempt.fail("the response has neither a content length nor chunked encoding, so its end is unknown");
			return;
		}
		this.attempt.receiveHead(response);
	}

	private static boolean hasStatusLineInHeader(HttpResponse response) {
		return response.headers()
			.entries()
			.stream()
			.anyMatch((header) -> STATUS_LINE.matcher(header.getValue()).find());
	}

	private void failIfSkipLimitExceeded() {
		if (this.skippedResponses > MAX_SKIPPED_RESPONSES || this.skippedBytes > MAX_SKIPPED_BYTES) {
			this.attempt.fail("the target sends what answers no request");
		}
	}

	// a response that was broken off takes the bytes of the next one for its own
	private void failIfSkipStalls(ChannelHandlerContext context) {
		TargetAttempt skippedBefore = this.attempt;
		int responses = this.skippedResponses;
		long bytes = this.skippedBytes;
		context.executor().schedule(() -> {
			if (this.attempt != skippedBefore || skippedBefore == null || !this.unrelated
					|| this.skippedResponses != responses) {
				return;
			}
			if (this.skippedBytes == bytes) {
				this.attempt.fail("a response of the target to another request does not end");
				return;
			}
			failIfSkipStalls(context);
		}, MAX_SKIP_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static long idleMillis(String keepAliveHeader) {
		if (keepAliveHeader == null) {
			return DEFAULT_IDLE_MILLIS;
		}
		Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAliveHeader);
		return timeout.find() ? TimeUnit.SECONDS.toMillis(Long.parseLong(timeout.group(1))) : DEFAULT_IDLE_MILLIS;
	}

	private boolean hasKnownEnd(HttpResponse response) {
		int code = response.status().code();
		return HttpUtil.isTransferEncodingChunked(response)
				|| response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| code == HttpResponseStatus.NO_CONTENT.code() || code == HttpResponseStatus.NOT_MODIFIED.code()
				|| "HEAD".equals(this.lastRequest.method());
	}

	private void readContent(ChannelHandlerContext context, HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.informational || this.unrelated) {
			this.skippedBytes += content.content().readableBytes();
			content.release();
			failIfSkipLimitExceeded();
			this.informational &= !last;
			this.unrelated &= !last;
			return;
		}
		if (content.content().isReadable()) {
			this.attempt.receiveBody(content.content());
		}
		else {
			content.release();
		}
		if (last) {
			completeAttempt(context);
		}
	}

	private void completeAttempt(ChannelHandlerContext context) {
		TargetAttempt completedAttempt = this.attempt;
		this.attempt = null;
		if (completedAttempt.isDone()) {
			context.close();
			return;
		}
		this.reusable = this.keepAlive;
		if (!this.reusable) {
			context.close();
		}
		completedAttempt.complete();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.reusable) {
			this.reusable = false;
			park(context);
		}
		context.fireChannelReadComplete();
	}

	private void park(ChannelHandlerContext context) {
		if (this.decoder.tryPark()) {
			this.client.putIdle(this.lastRequest.address(), context.channel(), this.idleMillis);
		}
		else {
			context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.attempt != null) {
			this.attempt.fail("the connection was closed before the response was complete");
			return;
		}
		if (this.lastRequest != null) {
			this.client.removeIdle(this.lastRequest.address(), context.channel());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (this.attempt != null) {
			this.attempt.fail("the connection failed: " + cause.getMessage());
		}
		context.close();
	}

}
