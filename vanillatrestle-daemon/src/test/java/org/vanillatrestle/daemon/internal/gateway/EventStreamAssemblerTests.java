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
		EventStreamAssembler stream = new EventStreamAssembler(-1);
		assertThat(take(stream, "id: 1\ndata: a\n")).isEmpty();
		assertThat(stream.hasPartialEvent()).isTrue();
		assertThat(take(stream, "\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(take(stream, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(stream.hasPartialEvent()).isFalse();
		assertThat(stream.lastId()).isEqualTo(2);
	}

	@Test
	void shouldAcceptCarriageReturnLineEndings() {
		EventStreamAssembler stream = new EventStreamAssembler(-1);
		assertThat(take(stream, "id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
	}

	@Test
	void shouldResumeAfterTheLastCompleteEventOfABrokenAttempt() {
		EventStreamAssembler stream = new EventStreamAssembler(-1);
		take(stream, event(1) + event(2) + "id: 3\nda");
		stream.beginAttempt();
		assertThat(take(stream, event(3) + event(4))).isEqualTo(event(3) + event(4));
	}

	@Test
	void shouldSkipEventsThatTheCallerAlreadyHas() {
		EventStreamAssembler stream = new EventStreamAssembler(2);
		assertThat(take(stream, event(1) + event(2) + event(3))).isEqualTo(event(3));
	}

	@Test
	void shouldDetectAMissingEvent() {
		EventStreamAssembler stream = new EventStreamAssembler(2);
		assertThat(take(stream, event(4))).isEmpty();
		assertThat(stream.hasGap()).isTrue();
	}

	@Property
	void shouldReturnEachEventOnceForAnyChunking(@ForAll @IntRange(min = 1, max = 30) int events,
			@ForAll @Size(max = 20) int[] cuts, @ForAll @IntRange(min = 0, max = 29) int breakAt) {
		StringBuilder whole = new StringBuilder();
		for (int i = 0; i < events; i++) {
			whole.append(event(i));
		}
		EventStreamAssembler stream = new EventStreamAssembler(-1);
		int broken = Math.min(breakAt, events) * event(0).length() / 2;
		StringBuilder got = new StringBuilder(cut(stream, whole.substring(0, broken), cuts));
		stream.beginAttempt();
		StringBuilder rest = new StringBuilder();
		for (long i = stream.lastId() + 1; i < events; i++) {
			rest.append(event((int) i));
		}
		got.append(cut(stream, rest.toString(), cuts));
		assertThat(got.toString()).isEqualTo(whole.toString());
		assertThat(stream.hasGap()).isFalse();
	}

	private static String cut(EventStreamAssembler stream, String text, int[] cuts) {
		StringBuilder got = new StringBuilder();
		int from = 0;
		for (int cut : cuts) {
			int to = Math.min(text.length(), from + Math.floorMod(cut, 40));
			got.append(take(stream, text.substring(from, to)));
			from = to;
		}
		return got.append(take(stream, text.substring(from))).toString();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: word\n\n";
	}

	private static String take(EventStreamAssembler stream, String text) {
		ByteBuf whole = stream.append(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
		return whole.toString(StandardCharsets.US_ASCII);
	}

}
