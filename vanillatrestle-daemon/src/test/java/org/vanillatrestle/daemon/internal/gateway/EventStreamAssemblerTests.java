package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventStreamAssemblerTests {

	@Test
	void shouldReturnOnlyCompleteEvents() {
		EventStreamAssembler assembler = new EventStreamAssembler(-1);
		assertThat(appendText(assembler, "id: 1\ndata: a\n")).isEmpty();
		assertThat(assembler.hasPartialEvent()).isTrue();
		assertThat(appendText(assembler, "\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(appendText(assembler, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(assembler.hasPartialEvent()).isFalse();
		assertThat(assembler.lastId()).isEqualTo(2);
	}

	@Test
	void shouldAcceptCarriageReturnLineEndings() {
		EventStreamAssembler assembler = new EventStreamAssembler(-1);
		assertThat(appendText(assembler, "id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
	}

	@Test
	void shouldResumeAfterTheLastCompleteEventOfABrokenAttempt() {
		EventStreamAssembler assembler = new EventStreamAssembler(-1);
		appendText(assembler, event(1) + event(2) + "id: 3\nda");
		assembler.beginAttempt();
		assertThat(appendText(assembler, event(3) + event(4))).isEqualTo(event(3) + event(4));
	}

	@Test
	void shouldSkipEventsThatTheCallerAlreadyHas() {
		EventStreamAssembler assembler = new EventStreamAssembler(2);
		assertThat(appendText(assembler, event(1) + event(2) + event(3))).isEqualTo(event(3));
	}

	@Test
	void shouldDetectAMissingEvent() {
		EventStreamAssembler assembler = new EventStreamAssembler(2);
		assertThat(appendText(assembler, event(4))).isEmpty();
		assertThat(assembler.hasGap()).isTrue();
	}

	@Property
	void shouldReturnEachEventOnceForAnyChunking(@ForAll @IntRange(min = 1, max = 30) int eventCount,
			@ForAll @Size(max = 20) int[] chunkLengths, @ForAll @IntRange(min = 0, max = 29) int breakPosition) {
		StringBuilder expected = new StringBuilder();
		for (int i = 0; i < eventCount; i++) {
			expected.append(event(i));
		}
		EventStreamAssembler assembler = new EventStreamAssembler(-1);
		int breakOffset = Math.min(breakPosition, eventCount) * event(0).length() / 2;
		StringBuilder received = new StringBuilder(
				appendInChunks(assembler, expected.substring(0, breakOffset), chunkLengths));
		assembler.beginAttempt();
		StringBuilder remaining = new StringBuilder();
		for (long i = assembler.lastId() + 1; i < eventCount; i++) {
			remaining.append(event((int) i));
		}
		received.append(appendInChunks(assembler, remaining.toString(), chunkLengths));
		assertThat(received.toString()).isEqualTo(expected.toString());
		assertThat(assembler.hasGap()).isFalse();
	}

	private static String appendInChunks(EventStreamAssembler assembler, String text, int[] chunkLengths) {
		StringBuilder received = new StringBuilder();
		int from = 0;
		for (int length : chunkLengths) {
			int to = Math.min(text.length(), from + Math.floorMod(length, 40));
			received.append(appendText(assembler, text.substring(from, to)));
			from = to;
		}
		return received.append(appendText(assembler, text.substring(from))).toString();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: word\n\n";
	}

	private static String appendText(EventStreamAssembler assembler, String text) {
		ByteBuf completeEvents = assembler.append(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
		return completeEvents.toString(StandardCharsets.US_ASCII);
	}

}
