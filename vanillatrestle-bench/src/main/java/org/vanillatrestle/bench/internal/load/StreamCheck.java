package org.vanillatrestle.bench.internal.load;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import org.vanillatrestle.bench.internal.engine.TokenText;

/**
 * Checks a stream of server-sent events against the text that the engine must generate,
 * token for token.
 * <p>
 * Not thread safe. A token that is missing, repeated or foreign, or anything after the
 * final event, makes the answer not whole.
 */
final class StreamCheck implements RequestKind.AnswerCheck {

	private static final String DATA = "data: ";

	private static final String CONTENT = "\"content\":\"";

	private static final String SENT = "\"sent_nanos\":";

	private static final String FINISHED = "\"finish_reason\":\"stop\"";

	private static final int DECIMAL = 10;

	private static final String DONE = "[DONE]";

	private final TokenText expected;

	private final int maxTokens;

	private final StringBuilder pending = new StringBuilder();

	private int tokens;

	private int finishes;

	private long sentNanos;

	private boolean wrong;

	private boolean done;

	StreamCheck(TokenText expected, int maxTokens) {
		this.expected = expected;
		this.maxTokens = maxTokens;
	}

	@Override
	public int accept(ByteBuf content) {
		int before = this.tokens;
		this.pending.append(content.toString(StandardCharsets.UTF_8));
		int start = 0;
		int end = this.pending.indexOf("\n");
		while (end >= 0) {
			line(this.pending.substring(start, end));
			start = end + 1;
			end = this.pending.indexOf("\n", start);
		}
		this.pending.delete(0, start);
		return this.tokens - before;
	}

	private void line(String line) {
		if (!line.startsWith(DATA)) {
			return;
		}
		if (this.done) {
			this.wrong = true;
			return;
		}
		if (line.startsWith(DONE, DATA.length())) {
			this.done = true;
			return;
		}
		this.wrong |= !line.endsWith("}");
		if (line.contains(FINISHED)) {
			this.finishes++;
		}
		int start = line.indexOf(CONTENT);
		if (start >= 0) {
			token(line, start + CONTENT.length());
			sent(line);
		}
	}

	private void token(String line, int start) {
		String text = line.substring(start, Math.max(start, line.indexOf('"', start)));
		if (!text.equals(this.expected.token(this.tokens))) {
			this.wrong = true;
		}
		this.tokens++;
	}

	private void sent(String line) {
		int start = line.indexOf(SENT);
		if (start >= 0) {
			int begin = start + SENT.length();
			this.sentNanos = Long.parseLong(line, begin, line.indexOf(',', begin), DECIMAL);
		}
	}

	@Override
	public long lastSentNanos() {
		return this.sentNanos;
	}

	@Override
	public boolean isWhole() {
		return this.done && !this.wrong && this.finishes == 1 && this.tokens == this.maxTokens
				&& this.pending.isEmpty();
	}

}
