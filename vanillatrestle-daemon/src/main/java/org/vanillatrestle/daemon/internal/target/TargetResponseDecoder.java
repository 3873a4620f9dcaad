package org.vanillatrestle.daemon.internal.target;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses received on one connection to a target.
 * <p>
 * Invariant: no byte that arrives while no request is in progress becomes part of a
 * response. A faulty target may send a second response, or a part of one, after the first
 * one: whatever arrives on an idle connection closes it. Used only on the VM's event
 * loop.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

	private boolean idle = true;

	private boolean headRequested;

	private boolean responseOpen;

	TargetResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	/**
	 * Prepares for the response to a request that is about to be sent.
	 * @param method the request's HTTP method
	 */
	void expectResponse(String method) {
		this.idle = false;
		this.headRequested = "HEAD".equals(method);
	}

	/**
	 * Notes that the connection is idle.
	 * @return {@code false} if input is left after the last response, so that the
	 * connection must be closed
	 */
	boolean tryPark() {
		this.idle = true;
		return !this.responseOpen && actualReadableBytes() == 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.idle) {
			ReferenceCountUtil.release(message);
			context.close();
			return;
		}
		super.channelRead(context, message);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> output) throws Exception {
		super.decode(context, buffer, output);
		if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent) {
			this.responseOpen = false;
		}
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		this.responseOpen = true;
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean informational = ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (this.headRequested && !informational) || super.isContentAlwaysEmpty(message);
	}

}
