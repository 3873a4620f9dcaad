package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.wire.generated.peer.Envelope.MessageCase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Each fault at each kind of message of the link, with an oracle on verdicts, runs and
 * bytes.
 */
class LinkFaultMatrixTests {

	private static final PeerSettings SETTINGS = new PeerSettings(64 * 1024, 4 * 1024, 1024, 64, 16, 64 * 1024, 50,
			1_000, 200, 10, 50, 40);

	private static final int DEADLINE_MILLIS = 200;

	private static final byte[] BODY = pattern(20_000, 3);

	private static final byte[] ANSWER = pattern(24_000, 7);

	private static final int PIECE_BYTES = 1_500;

	private static final int SETTLE_MILLIS = 25;

	static Stream<Arguments> streamCases() {
		List<Arguments> cases = new ArrayList<>();
		for (Fault fault : Fault.values()) {
			for (Scenario scenario : Scenario.values()) {
				for (MessageCase kind : scenario.kinds) {
					cases.add(Arguments.of(scenario, kind, 1, fault));
				}
			}
			cases.add(Arguments.of(Scenario.WHOLE, MessageCase.BODY_FRAME, 5, fault));
			cases.add(Arguments.of(Scenario.WHOLE, MessageCase.RESPONSE_FRAME, 5, fault));
			cases.add(Arguments.of(Scenario.WHOLE, MessageCase.BODY_CREDIT, 2, fault));
			cases.add(Arguments.of(Scenario.WHOLE, MessageCase.RESPONSE_CREDIT, 2, fault));
		}
		return cases.stream();
	}

	static Stream<Arguments> linkCases() {
		List<Arguments> cases = new ArrayList<>();
		for (Fault fault : Fault.values()) {
			for (MessageCase kind : List.of(MessageCase.HELLO, MessageCase.DATAGRAM, MessageCase.CALL,
					MessageCase.REPLY, MessageCase.PING, MessageCase.PONG)) {
				cases.add(Arguments.of(kind, fault));
			}
		}
		return cases.stream();
	}

	@Test
	void shouldCoverEveryKindOfMessage() {
		Set<MessageCase> covered = EnumSet.of(MessageCase.MESSAGE_NOT_SET);
		streamCases().forEach((arguments) -> covered.add((MessageCase) arguments.get()[1]));
		linkCases().forEach((arguments) -> covered.add((MessageCase) arguments.get()[0]));
		assertThat(covered).containsExactlyInAnyOrder(MessageCase.values());
	}

	@ParameterizedTest(name = "{0} {1} #{2} {3}")
	@MethodSource("streamCases")
	void shouldKeepVerdictAndBytesTrue(Scenario scenario, MessageCase kind, int occurrence, Fault fault)
			throws Exception {
		try (PeerPair pair = new PeerPair(SETTINGS, null, null)) {
			FaultPlan plan = faulty(pair, kind, occurrence, fault);
			pair.link();
			scenario.prepare(pair.holder);
			pair.holder.answer = pieces();
			RecordingForwardListener listener = new RecordingForwardListener();
			pair.onLoop(() -> {
				plan.arm();
				listener.stream = pair.a.open(PeerPair.B, PeerPair.request(DEADLINE_MILLIS), listener);
				listener.stream.writeBody(BODY, true);
				return null;
			});
			if (scenario.cancels) {
				pair.await(() -> scenario.isReady(pair.holder) || listener.isDone());
				pair.onLoop(() -> {
					listener.stream.cancel("caller left");
					return null;
				});
			}
			pair.await(listener::isDone);
			pair.await(() -> plan.fired);
			check(pair, listener);
		}
	}

	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("linkCases")
	void shouldKeepCallsAndDatagramsTrue(MessageCase kind, Fault fault) throws Exception {
		try (PeerPair pair = new PeerPair(SETTINGS, null, null)) {
			FaultPlan plan = faulty(pair, kind, 1, fault);
			if (kind == MessageCase.HELLO) {
				plan.arm();
			}
			pair.listen();
			pair.onLoop(() -> {
				pair.a.connect(pair.addressB);
				return null;
			});
			if (kind != MessageCase.HELLO) {
				pair.await(() -> pair.a.isConnected(PeerPair.B) && pair.b.isConnected(PeerPair.A));
			}
			CompletableFuture<byte[]> call = pair.onLoop(() -> {
				plan.arm();
				pair.a.send(PeerPair.B, PeerChannel.TARGETS, "news".getBytes());
				return pair.a.call(PeerPair.B, PeerChannel.BOOK, "ask".getBytes(), DEADLINE_MILLIS);
			});
			pair.await(call::isDone);
			pair.await(() -> plan.fired);
			if (!call.isCompletedExceptionally()) {
				assertThat(call.join()).asString().isEqualTo("ask");
			}
			assertThat(pair.onLoop(() -> pair.handlerB.calls.size())).isLessThanOrEqualTo(1);
			int copies = (fault == Fault.TWICE) ? 2 : 1;
			assertThat(pair.onLoop(() -> List.copyOf(pair.handlerB.datagrams))).hasSizeLessThanOrEqualTo(copies)
				.allMatch("vm-a TARGETS news"::equals);
			checkLinkComesBack(pair, fault);
		}
	}

	private static void checkLinkComesBack(PeerPair pair, Fault fault) throws Exception {
		if (fault == Fault.SENDER_KILLED || fault == Fault.RECEIVER_KILLED) {
			return;
		}
		pair.await(() -> pair.a.isConnected(PeerPair.B) && pair.b.isConnected(PeerPair.A));
		pair.await(() -> {
			pair.a.send(PeerPair.B, PeerChannel.TARGETS, "again".getBytes());
			return pair.handlerB.datagrams.contains("vm-a TARGETS again");
		});
	}

	private static void check(PeerPair pair, RecordingForwardListener listener) throws Exception {
		pair.onLoop(() -> {
			pair.holder.hang = false;
			if (!listener.failures.isEmpty() && listener.failures.get(0).verdict() == Verdict.NOT_RUN) {
				pair.holder.refuse = false;
				pair.holder.holdings.forEach(ScriptedHolder.Holding::run);
				assertThat(pair.holder.runs).as("runs after NOT_RUN").isEmpty();
			}
			return null;
		});
		Thread.sleep(SETTLE_MILLIS);
		pair.onLoop(() -> {
			assertThat(listener.ends + listener.failures.size()).as("ends").isOne();
			assertThat(pair.holder.runs).hasSizeLessThanOrEqualTo(1).allMatch(new String(BODY)::equals);
			byte[] received = listener.data.toByteArray();
			assertThat(received).isEqualTo(Arrays.copyOf(ANSWER, received.length));
			if (listener.ends == 1) {
				assertThat(received).hasSize(ANSWER.length);
				assertThat(pair.holder.runs).hasSize(1);
			}
			return null;
		});
	}

	private static FaultPlan faulty(PeerPair pair, MessageCase kind, int occurrence, Fault fault) {
		FaultPlan plan = new FaultPlan(kind, occurrence, fault, PeerNode::stop);
		pair.a.intercept(() -> plan.handler(pair.a, pair.b));
		pair.b.intercept(() -> plan.handler(pair.b, pair.a));
		return plan;
	}

	private static List<byte[]> pieces() {
		List<byte[]> pieces = new ArrayList<>();
		for (int offset = 0; offset < ANSWER.length; offset += PIECE_BYTES) {
			pieces.add(Arrays.copyOfRange(ANSWER, offset, Math.min(offset + PIECE_BYTES, ANSWER.length)));
		}
		return Collections.unmodifiableList(pieces);
	}

	private static byte[] pattern(int sizeBytes, int step) {
		byte[] bytes = new byte[sizeBytes];
		for (int i = 0; i < sizeBytes; i++) {
			bytes[i] = (byte) ('a' + (i / 26 + i * step) % 26);
		}
		return bytes;
	}

	/**
	 * What the request does when nothing goes wrong, and the messages this takes.
	 */
	enum Scenario {

		WHOLE(false, MessageCase.FORWARD_REQUEST, MessageCase.BODY_FRAME, MessageCase.RESPONSE_HEAD,
				MessageCase.RESPONSE_FRAME, MessageCase.RESPONSE_END, MessageCase.BODY_CREDIT,
				MessageCase.RESPONSE_CREDIT),

		REFUSED(false, MessageCase.FORWARD_REQUEST, MessageCase.NOT_STARTED),

		CANCELLED_BEFORE_START(true, MessageCase.FORWARD_REQUEST, MessageCase.CANCEL, MessageCase.NOT_STARTED),

		CANCELLED_AFTER_START(true, MessageCase.CANCEL, MessageCase.RESPONSE_HEAD, MessageCase.RESPONSE_END);

		private final boolean cancels;

		private final List<MessageCase> kinds;

		Scenario(boolean cancels, MessageCase... kinds) {
			this.cancels = cancels;
			this.kinds = List.of(kinds);
		}

		void prepare(ScriptedHolder holder) {
			holder.refuse = this == REFUSED;
			holder.wait = this == CANCELLED_BEFORE_START;
			holder.hang = this == CANCELLED_AFTER_START;
		}

		boolean isReady(ScriptedHolder holder) {
			if (this == CANCELLED_AFTER_START) {
				return !holder.runs.isEmpty();
			}
			return !holder.holdings.isEmpty() && holder.holdings.get(0).body.size() == BODY.length;
		}

	}

}
