package org.vanillatrestle.bench.internal.standin;

import java.nio.charset.StandardCharsets;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * Serves the paths by which a stand-in is commanded and inspected, and leaves all others
 * to the kind of stand-in.
 * <p>
 * One handler serves one connection; it runs on the stand-in's only event loop.
 */
public abstract class StandInHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private final StandInControl control;

	/**
	 * Creates the handler of one connection.
	 * @param control the stand-in's controls
	 */
	protected StandInHandler(StandInControl control) {
		this.control = control;
	}

	/**
	 * Serves a request that is no command.
	 * @param context the connection
	 * @param request the request, released after this call
	 * @throws InvalidDocumentException if the body is not of the expected form
	 */
	protected abstract void serve(ChannelHandlerContext context, FullHttpRequest request)
			throws InvalidDocumentException;

	/**
	 * Called once a fault was put in force.
	 * @param fault the fault
	 */
	protected void faultChanged(Fault fault) {
	}

	@Override
	protected final void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		try {
			if (!request.decoderResult().isSuccess()) {
				reply(context, Responses.error(HttpResponseStatus.BAD_REQUEST, "not valid HTTP"));
				return;
			}
			switch (new QueryStringDecoder(request.uri()).path()) {
				case "/faults" -> fault(context, request);
				case "/runs" -> reply(context, Responses.json(HttpResponseStatus.OK, this.control.runs().toJson()));
				case "/health" ->
					reply(context, Responses.json(HttpResponseStatus.OK, Responses.object().put("live", true)));
				case "/leave" -> leave(context, request);
				default -> serve(context, request);
			}
		}
		catch (InvalidDocumentException ex) {
			reply(context, Responses.error(HttpResponseStatus.BAD_REQUEST, ex.getMessage()));
		}
	}

	private void fault(ChannelHandlerContext context, FullHttpRequest request) throws InvalidDocumentException {
		if (request.method().equals(HttpMethod.POST)) {
			Fault fault = Fault.read(request.content().toString(StandardCharsets.UTF_8));
			this.control.faults().set(fault);
			faultChanged(fault);
		}
		String mode = this.control.faults().current().mode().name();
		reply(context, Responses.json(HttpResponseStatus.OK, Responses.object().put("mode", mode)));
	}

	private void leave(ChannelHandlerContext context, FullHttpRequest request) {
		if (!request.method().equals(HttpMethod.POST)) {
			reply(context, Responses.error(HttpResponseStatus.METHOD_NOT_ALLOWED, "POST is expected"));
			return;
		}
		this.control.announcer().leave();
		reply(context, Responses.json(HttpResponseStatus.ACCEPTED, Responses.object().put("leaving", true)));
	}

	/**
	 * Sends a whole response.
	 * @param context the connection
	 * @param response the response
	 */
	protected static void reply(ChannelHandlerContext context, FullHttpResponse response) {
		context.writeAndFlush(response);
	}

	/**
	 * Resets a connection, so that the peer sees an error instead of an end.
	 * @param context the connection
	 */
	protected static void reset(ChannelHandlerContext context) {
		context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		context.close();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
	}

}
