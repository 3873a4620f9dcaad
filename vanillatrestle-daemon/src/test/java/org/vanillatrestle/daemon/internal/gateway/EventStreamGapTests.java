package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A new attempt after one that left an event out.
 */
class EventStreamGapTests {

	@Test
	void shouldContinueWithANewAttemptAfterAGap() {
		EventStreamAssembler assembler = new EventStreamAssembler(2);
		assembler.append(bytes("id: 5\ndata: e\n\n"));
		assertThat(assembler.hasGap()).isTrue();
		assembler.beginAttempt();
		ByteBuf sent = assembler.append(bytes("id: 3\ndata: c\n\n"));
		assertThat(sent.toString(StandardCharsets.UTF_8)).isEqualTo("id: 3\ndata: c\n\n");
		assertThat(assembler.hasGap()).isFalse();
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
	}

}
