package org.vanillatrestle.bench.internal.service;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.bench.internal.http.Responses;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInControl;
import org.vanillatrestle.bench.internal.standin.StandInHandler;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * Serves balances, payouts and submissions on one connection. Paths may begin with the
 * service's name.
 * <p>
 * Confined to the service's event loop. A call runs before its delay, so that a fault in
 * the answer leaves a call that ran.
 */
final class ServiceHandler extends StandInHandler {

	private static final String BALANCES = "/balances/";

	private static final String PAYOUTS = "/payouts";

	private static final String SUBMISSIONS = "/submissions";

	private final StandInControl control;

	private final Ledger ledger;

	private final String prefix;

	private final long delayMillis;

	private Run run;

	ServiceHandler(StandInControl control, Ledger ledger, String prefix, long delayMillis) {
		super(control);
		this.control = control;
		this.ledger = ledger;
		this.prefix = prefix;
		this.delayMillis = delayMillis;
	}

	@Override
	protected void serve(ChannelHandlerContext context, FullHttpRequest request) throws InvalidDocumentException {
		Fault fault = this.control.faults().take();
		if (fault.mode() == FaultMode.REFUSE) {
			reply(context, Responses.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused on command"));
			return;
		}
		FullHttpResponse response = response(request);
		Run started = this.control.runs().add(new Run(request));
		this.run = started;
		this.ledger.begin();
		long delay = (long) (this.delayMillis * fault.slowdown());
		if (delay == 0) {
			answer(context, response, started, fault);
			return;
		}
		context.executor().schedule(() -> answer(context, response, started, fault), delay, TimeUnit.MILLISECONDS);
	}

	private FullHttpResponse response(FullHttpRequest request) throws InvalidDocumentException {
		String path = new QueryStringDecoder(request.uri()).path();
		String local = path.startsWith(this.prefix + "/") ? path.substring(this.prefix.length()) : path;
		String body = request.content().toString(StandardCharsets.UTF_8);
		if (request.method().equals(HttpMethod.POST)) {
			return posted(local, body);
		}
		if (request.method().equals(HttpMethod.GET)) {
			return got(local);
		}
		return Responses.error(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET and POST are served");
	}

	private FullHttpResponse posted(String path, String body) throws InvalidDocumentException {
		if (path.equals(PAYOUTS)) {
			JsonObject payout = JsonObject.parse(body);
			String account = payout.string("account");
			long number = this.ledger.pay(account, payout.integer("amount", 0, Long.MAX_VALUE));
			return Responses.json(HttpResponseStatus.OK,
					Responses.object().put("payout", number).put("account", account));
		}
		if (path.equals(SUBMISSIONS)) {
			String id = this.ledger.submit(JsonObject.parse(body).string("title"));
			return Responses.json(HttpResponseStatus.CREATED, Responses.object().put("submission", id));
		}
		return notFound();
	}

	private FullHttpResponse got(String path) {
		if (path.startsWith(BALANCES)) {
			String account = path.substring(BALANCES.length());
			return Responses.json(HttpResponseStatus.OK,
					Responses.object().put("account", account).put("balance", this.ledger.balance(account)));
		}
		if (path.startsWith(SUBMISSIONS + "/")) {
			String id = path.substring(SUBMISSIONS.length() + 1);
			return this.ledger.submission(id)
				.map((title) -> Responses.json(HttpResponseStatus.OK,
						Responses.object().put("submission", id).put("title", title).put("status", "FILED")))
				.orElseGet(ServiceHandler::notFound);
		}
		return notFound();
	}

	private static FullHttpResponse notFound() {
		return Responses.error(HttpResponseStatus.NOT_FOUND, "no such path");
	}

	private void answer(ChannelHandlerContext context, FullHttpResponse response, Run started, Fault fault) {
		this.ledger.end();
		if (fault.mode().breaksAnswers()) {
			started.end(Run.Outcome.BROKEN);
			breakAnswer(context, response, fault);
			return;
		}
		started.sent(response.content().readableBytes());
		started.end(Run.Outcome.COMPLETED);
		reply(context, response);
	}

	private void breakAnswer(ChannelHandlerContext context, FullHttpResponse response, Fault fault) {
		switch (fault.mode()) {
			case CRASH_AFTER -> crash(context, response, fault);
			case GARBAGE -> sendGarbage(context, response);
			case SHORT -> sendHalf(context, response, () -> context.close());
			default -> response.release();
		}
	}

	private void crash(ChannelHandlerContext context, FullHttpResponse response, Fault fault) {
		if (fault.afterChunks() > 0) {
			sendHalf(context, response, () -> reset(context));
			return;
		}
		response.release();
		reset(context);
	}

	private static void sendGarbage(ChannelHandlerContext context, FullHttpResponse response) {
		response.release();
		ByteBuf bytes = Unpooled.copiedBuffer("\u0000\u0001 no HTTP at all\r\n\r\n", StandardCharsets.UTF_8);
		context.pipeline().firstContext().writeAndFlush(bytes).addListener((sent) -> context.close());
	}

	private static void sendHalf(ChannelHandlerContext context, FullHttpResponse response, Runnable then) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
		head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		context.write(head);
		ByteBuf half = response.content().readSlice(response.content().readableBytes() / 2);
		context.writeAndFlush(new DefaultHttpContent(half)).addListener((sent) -> then.run());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		if (this.run != null) {
			this.run.end(Run.Outcome.CANCELLED);
		}
		super.channelInactive(context);
	}

}
