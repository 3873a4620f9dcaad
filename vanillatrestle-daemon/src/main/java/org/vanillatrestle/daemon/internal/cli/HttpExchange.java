package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Sends one request at a time to a VM and waits for the complete response.
 * <p>
 * Not thread safe. Owns an event loop, which runs until this object is closed.
 */
final class HttpExchange implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

	private static final int RESPONSE_TIMEOUT_MILLIS = 15_000;

	private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

	private static final JsonMapper MAPPER = new JsonMapper();

	private final EventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	/**
	 * Sends a request and waits for the response.
	 * @param server the VM's address, for example {@code http://127.0.1.1:8080}
	 * @param request the request
	 * @return the response
	 * @throws ClientException if no complete response was received
	 */
	ClientResponse send(URI server, ClientRequest request) throws ClientException {
		CompletableFuture<ClientResponse> result = new CompletableFuture<>();
		Channel channel = connect(server, result);
		try {
			channel.writeAndFlush(toHttp(server, request));
			return result.get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			throw new ClientException(server + " sent no complete response: " + ex.getCause().getMessage(), true);
		}
		catch (TimeoutException ex) {
			throw new ClientException(server + " sent no response within " + RESPONSE_TIMEOUT_MILLIS + " ms", true);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ClientException("interrupted while waiting for " + server, true);
		}
		finally {
			channel.close();
		}
	}

	private Channel connect(URI server, CompletableFuture<ClientResponse> result) throws ClientException {
		ChannelFuture connected = new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES),
								new ResponseHandler(result));
				}

			})
			.connect(server.getHost(), server.getPort())
			.awaitUninterruptibly();
		if (!connected.isSuccess()) {
			throw new ClientException(server + " can't be reached: " + connected.cause().getMessage(), false);
		}
		return connected.channel();
	}

	private static FullHttpRequest toHttp(URI server, ClientRequest request) {
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()),
				request.path(), Unpooled.copiedBuffer(request.body(), StandardCharsets.UTF_8));
		message.headers()
			.set(HttpHeaderNames.HOST, server.getAuthority())
			.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + request.key())
			.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		HttpUtil.setContentLength(message, message.content().readableBytes());
		return message;
	}

	@Override
	public void close() {
		this.eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	/**
	 * Completes the future with the response, or exceptionally if there is none. Runs on
	 * the event loop.
	 */
	private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final CompletableFuture<ClientResponse> result;

		ResponseHandler(CompletableFuture<ClientResponse> result) {
			this.result = result;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response)
				throws JsonProcessingException {
			if (response.decoderResult().isFailure()) {
				this.result.completeExceptionally(response.decoderResult().cause());
				return;
			}
			String body = response.content().toString(StandardCharsets.UTF_8);
			this.result.complete(new ClientResponse(response.status().code(), MAPPER.readTree(body)));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.result.completeExceptionally(new IOException("the connection was closed"));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			this.result.completeExceptionally(cause);
			context.close();
		}

	}

}
