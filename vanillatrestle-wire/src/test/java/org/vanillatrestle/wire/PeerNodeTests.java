package org.vanillatrestle.wire;

import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.Collections;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.Verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Two nodes on loopback without faults.
 */
class PeerNodeTests {

	@Test
	void shouldPassDatagramsAndCallsBothWays() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			pair.onLoop(() -> pair.a.send(PeerPair.B, PeerChannel.LOG, "hi".getBytes()));
			byte[] answer = PeerPair
				.get(pair.onLoop(() -> pair.b.call(PeerPair.A, PeerChannel.BOOK, "ask".getBytes(), 1_000)));
			pair.await(() -> !pair.handlerB.datagrams.isEmpty());
			assertThat(answer).asString().isEqualTo("ask");
			assertThat(pair.handlerB.datagrams).containsExactly("vm-a LOG hi");
			assertThat(pair.handlerA.calls).containsExactly("vm-b BOOK ask");
		}
	}

	@Test
	void shouldStreamARequestAndItsAnswerWhole() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			byte[] piece = new byte[5_000];
			Arrays.fill(piece, (byte) 'x');
			pair.holder.answer = Collections.nCopies(40, piece);
			RecordingForwardListener listener = new RecordingForwardListener();
			listener.stream = pair.open(listener, 5_000);
			pair.onLoop(() -> {
				listener.stream.writeBody(new byte[100_000], true);
				return null;
			});
			pair.await(listener::isDone);
			assertThat(listener.failures).isEmpty();
			assertThat(listener.ends).isOne();
			assertThat(listener.data.size()).isEqualTo(200_000);
			assertThat(pair.holder.holdings.get(0).body.size()).isEqualTo(100_000);
			assertThat(pair.holder.holdings.get(0).exchange.request().once()).isPresent();
		}
	}

	@Test
	void shouldHoldNoMoreThanTheWindowForASlowReader() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			pair.holder.answer = Collections.nCopies(100, new byte[1_000]);
			RecordingForwardListener listener = new RecordingForwardListener();
			listener.slow = true;
			listener.stream = pair.open(listener, 5_000);
			pair.onLoop(() -> {
				listener.stream.writeBody(new byte[0], true);
				return null;
			});
			int windowBytes = PeerPair.QUICK.streamWindowBytes();
			pair.await(() -> listener.data.size() >= windowBytes);
			PeerPair.get(pair.onLoop(() -> pair.a.call(PeerPair.B, PeerChannel.LOG, new byte[0], 1_000)));
			assertThat(listener.data.size()).isEqualTo(windowBytes);
			listener.slow = false;
			pair.onLoop(() -> {
				listener.stream.consumed(windowBytes);
				return null;
			});
			pair.await(listener::isDone);
			assertThat(listener.data.size()).isEqualTo(100_000);
		}
	}

	@Test
	void shouldFailAtOnceWithoutALink() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.listen();
			RecordingForwardListener listener = new RecordingForwardListener();
			pair.open(listener, 1_000);
			CompletableFuture<byte[]> call = pair
				.onLoop(() -> pair.a.call(PeerPair.B, PeerChannel.LOG, new byte[0], 1_000));
			pair.await(listener::isDone);
			assertThat(listener.failures.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThatExceptionOfType(ExecutionException.class).isThrownBy(call::get)
				.withCauseInstanceOf(PeerException.class)
				.withMessageContaining("no link");
			assertThat(pair.onLoop(() -> pair.a.send(PeerPair.B, PeerChannel.LOG, new byte[0]))).isFalse();
		}
	}

	@Test
	void shouldReportRefusalAsNotRun() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			pair.holder.refuse = true;
			RecordingForwardListener listener = new RecordingForwardListener();
			ForwardStream stream = pair.open(listener, 1_000);
			pair.onLoop(() -> {
				stream.writeBody("pay".getBytes(), true);
				return null;
			});
			pair.await(listener::isDone);
			assertThat(listener.failures)
				.containsExactly(new ForwardFailure(Verdict.NOT_RUN, "busy", "No room.", 40, 7));
		}
	}

	@Test
	void shouldNeverStartACancelledRequest() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			pair.holder.wait = true;
			RecordingForwardListener listener = new RecordingForwardListener();
			ForwardStream stream = pair.open(listener, 5_000);
			pair.await(() -> pair.holder.holdings.size() == 1);
			pair.onLoop(() -> {
				stream.cancel("caller left");
				return null;
			});
			pair.await(listener::isDone);
			pair.onLoop(() -> {
				pair.holder.holdings.get(0).run();
				return null;
			});
			assertThat(listener.failures.get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThat(pair.holder.runs).isEmpty();
			assertThat(pair.holder.cancelled).containsExactly("caller left");
		}
	}

	@Test
	void shouldKeepOneLinkWhenBothEndsConnect() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.listen();
			pair.onLoop(() -> {
				pair.a.connect(pair.addressB);
				pair.b.connect(pair.addressA);
				return null;
			});
			pair.await(() -> pair.a.isConnected(PeerPair.B) && pair.b.isConnected(PeerPair.A));
			byte[] answer = PeerPair
				.get(pair.onLoop(() -> pair.a.call(PeerPair.B, PeerChannel.LOG, "x".getBytes(), 1_000)));
			assertThat(answer).asString().isEqualTo("x");
			assertThat(pair.handlerA.connected).containsExactly(PeerPair.B);
			assertThat(pair.handlerB.connected).containsExactly(PeerPair.A);
		}
	}

	@Test
	void shouldConnectAgainAfterThePeerRestarted() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			PeerPair.get(pair.b.stop());
			pair.await(() -> !pair.a.isConnected(PeerPair.B));
			PeerNode restarted = pair.node(PeerPair.QUICK, null, pair.handlerB);
			PeerIdentity identity = new PeerIdentity(PeerPair.B, pair.a.self().dataCentre(), pair.a.self().region(), 2,
					"");
			PeerPair.get(pair.onLoop(() -> restarted.listen(pair.addressB, identity)));
			pair.await(() -> pair.a.isConnected(PeerPair.B));
			assertThat(pair.handlerA.connected).containsExactly(PeerPair.B, PeerPair.B);
			assertThat(pair.handlerA.disconnected).containsExactly(PeerPair.B);
		}
	}

	@Test
	void shouldCloseTheLinkOfAStrangerThatSendsNoise() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			try (Socket socket = new Socket(pair.addressB.getAddress(), pair.addressB.getPort())) {
				OutputStream output = socket.getOutputStream();
				output.write("GET / HTTP/1.1\r\n\r\n".getBytes());
				output.flush();
				socket.getInputStream().readAllBytes();
			}
			assertThat(pair.onLoop(() -> pair.a.isConnected(PeerPair.B))).isTrue();
		}
	}

	@Test
	void shouldRefuseAPayloadAboveTheLimit() throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			byte[] payload = new byte[PeerPair.QUICK.maxPayloadBytes() + 1];
			assertThatIllegalArgumentException().isThrownBy(() -> pair.a.send(PeerPair.B, PeerChannel.LOG, payload))
				.withMessageContaining("exceeds the limit of 61440 bytes");
		}
	}

}
