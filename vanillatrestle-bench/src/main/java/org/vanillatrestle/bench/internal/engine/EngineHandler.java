package org.vanillatrestle.bench.internal.engine;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.bench.internal.http.Responses;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInControl;
import org.vanillatrestle.bench.internal.standin.StandInHandler;

/**
 * Serves chat completions on one connection.
 * <p>
 * Confined to the engine's event loop. At most one answer is under way; when the
 * connection closes, it is cancelled.
 */
final class EngineHandler extends StandInHandler {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String PRIORITY_HEADER = "Vanillatrestle-Priority";

	private static final String OFFSET_HEADER = "Vanillatrestle-Resume-Offset";

	private static final String RESUMED_HEADER = "Vanillatrestle-Resumed";

	private final StandInControl control;

	private final Batch batch;

	private Sequence sequence;

	private Run run;

	private long nextNumber;

	EngineHandler(StandInControl control, Batch batch) {
		super(control);
		this.control = control;
		this.batch = batch;
	}

	@Override
	protected void faultChanged(Fault fault) {
		if (fault.mode() == FaultMode.COLD) {
			this.batch.clearCache();
		}
	}

	@Override
	protected void serve(ChannelHandlerContext context, FullHttpRequest request) throws InvalidDocumentException {
		if (!request.uri().equals(CHAT_PATH) || !request.method().equals(HttpMethod.POST)) {
			reply(context, Responses.error(HttpResponseStatus.NOT_FOUND, "only POST " + CHAT_PATH + " is served"));
			return;
		}
		ChatRequest chat = ChatRequest.read(request.content().toString(StandardCharsets.UTF_8));
		Fault fault = this.control.faults().take();
		if (fault.mode() == FaultMode.REFUSE) {
			reply(context, Responses.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused on command"));
			return;
		}
		start(context, request, chat, fault);
	}

	private void start(ChannelHandlerContext context, FullHttpRequest request, ChatRequest chat, Fault fault) {
		int offset = request.headers().getInt(OFFSET_HEADER, 0);
		int priority = request.headers().getInt(PRIORITY_HEADER, 0);
		Run started = new Run(request);
		AnswerWriter writer = chat.stream() ? new StreamWriter(context, chat, offset) : new WholeWriter(context, chat);
		FaultySink sink = new FaultySink(context, writer, started, fault);
		Sequence added = new Sequence(chat, offset, priority, this.nextNumber++, fault, sink);
		if (!this.batch.add(added, context.channel().eventLoop())) {
			reply(context, Responses.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "the queue is full"));
			return;
		}
		this.control.runs().add(started);
		this.run = started;
		this.sequence = added;
		if (chat.stream()) {
			context.writeAndFlush(head(request.headers().contains(OFFSET_HEADER), offset));
		}
	}

	private static HttpResponse head(boolean resumed, int offset) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		if (resumed) {
			response.headers().setInt(RESUMED_HEADER, offset);
		}
		return response;
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		if (this.sequence != null) {
			this.batch.cancel(this.sequence);
			this.run.end(Run.Outcome.CANCELLED);
		}
		super.channelInactive(context);
	}

	/**
	 * Breaks an answer as a fault on command says, and passes on all else.
	 */
	private record FaultySink(ChannelHandlerContext context, AnswerWriter writer, Run run,
			Fault fault) implements Sequence.TokenSink {

		@Override
		public boolean token(int index, String text) {
			if (this.fault.breaksAt(this.run.sentChunks())) {
				breakAnswer();
				return false;
			}
			this.run.sent(text.length());
			this.writer.token(index, text);
			return true;
		}

		@Override
		public void end() {
			if (this.fault.breaksAt(this.run.sentChunks())) {
				breakAnswer();
				return;
			}
			this.run.end(Run.Outcome.COMPLETED);
			this.writer.end();
		}

		private void breakAnswer() {
			this.run.end(Run.Outcome.BROKEN);
			switch (this.fault.mode()) {
				case CRASH_AFTER -> reset(this.context);
				case GARBAGE -> this.writer.garbage();
				case SHORT -> this.writer.cutShort();
				default -> this.context.flush();
			}
		}

	}

	/**
	 * Writes an answer in one of its two forms.
	 */
	private interface AnswerWriter {

		void token(int index, String text);

		void end();

		void garbage();

		void cutShort();

	}

	/**
	 * Writes an answer as server-sent events.
	 */
	private record StreamWriter(ChannelHandlerContext context, ChatRequest chat, int offset) implements AnswerWriter {

		@Override
		public void token(int index, String text) {
			this.context.writeAndFlush(event(ChatJson.chunk(this.chat, index, text)));
		}

		@Override
		public void end() {
			if (this.offset <= this.chat.maxTokens()) {
				this.context.write(event(ChatJson.lastChunk(this.chat)));
			}
			this.context.write(event("[DONE]"));
			this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}

		@Override
		public void garbage() {
			this.context.write(event("{\"choices\": [{\"delta\": {\"cont"));
			this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}

		@Override
		public void cutShort() {
			this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}

		private static DefaultHttpContent event(String data) {
			return new DefaultHttpContent(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8));
		}

	}

	/**
	 * Writes an answer in one piece after its last token.
	 */
	private record WholeWriter(ChannelHandlerContext context, ChatRequest chat) implements AnswerWriter {

		@Override
		public void token(int index, String text) {
		}

		@Override
		public void end() {
			reply(this.context, Responses.json(HttpResponseStatus.OK, ChatJson.whole(this.chat)));
		}

		@Override
		public void garbage() {
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
			ByteBuf body = Unpooled.copiedBuffer("{\"choices\": [{\"mess", StandardCharsets.UTF_8);
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
			this.context.write(response);
			this.context.write(new DefaultHttpContent(body));
			this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}

		@Override
		public void cutShort() {
			byte[] whole = Responses.encode(ChatJson.whole(this.chat));
			HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, whole.length);
			this.context.write(response);
			this.context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(whole, 0, whole.length / 2)))
				.addListener((sent) -> this.context.close());
		}

	}

}
