package org.vanillatrestle.wire;

import java.io.DataOutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillatrestle.wire.generated.peer.BodyFrame;
import org.vanillatrestle.wire.generated.peer.Cancel;
import org.vanillatrestle.wire.generated.peer.Datagram;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.ForwardRequest;
import org.vanillatrestle.wire.generated.peer.Hello;
import org.vanillatrestle.wire.generated.peer.Ping;
import org.vanillatrestle.wire.generated.peer.Reply;
import org.vanillatrestle.wire.generated.peer.ResponseFrame;
import org.vanillatrestle.wire.generated.peer.StreamKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A peer that speaks the protocol but breaks its rules: it loses its link, and no other.
 */
class NoiseTests {

	private static final Hello HELLO = Hello.newBuilder()
		.setProtocolVersion(1)
		.setVm("vm-evil")
		.setDataCentre("dc-1")
		.setRegion("bagmati")
		.setStreamWindowBytes(1_000)
		.build();

	static Stream<List<Envelope>> violations() {
		Envelope hello = Envelope.newBuilder().setHello(HELLO).build();
		return Stream.of(List.of(Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build()),
				List.of(hello, hello),
				List.of(Envelope.newBuilder().setHello(HELLO.toBuilder().setProtocolVersion(99)).build()),
				List.of(Envelope.newBuilder().setHello(HELLO.toBuilder().setVm("no name!")).build()),
				List.of(Envelope.newBuilder().setHello(HELLO.toBuilder().setStreamWindowBytes(0)).build()),
				List.of(Envelope.newBuilder().setHello(HELLO.toBuilder().setVm("vm-b")).build()),
				List.of(hello, request(ByteString.copyFromUtf8("short"))),
				List.of(hello, request(ByteString.copyFrom(new byte[16]))),
				List.of(hello,
						Envelope.newBuilder()
							.setDatagram(Datagram.newBuilder().setPayload(ByteString.copyFrom(new byte[70_000])))
							.build()));
	}

	@ParameterizedTest
	@MethodSource("violations")
	void shouldCloseTheLinkOfAPeerThatBreaksARule(List<Envelope> messages) throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			try (Socket socket = new Socket(pair.addressB.getAddress(), pair.addressB.getPort())) {
				sendUntilClosed(socket, messages);
				socket.setSoTimeout(5_000);
				drain(socket);
			}
			assertThat(pair.onLoop(() -> pair.a.isConnected(PeerPair.B))).isTrue();
			assertThat(pair.holder.holdings).isEmpty();
		}
	}

	@ParameterizedTest
	@MethodSource("strays")
	void shouldDropStrayMessagesOfStreams(Envelope stray) throws Exception {
		try (PeerPair pair = new PeerPair()) {
			pair.link();
			try (Socket socket = new Socket(pair.addressB.getAddress(), pair.addressB.getPort())) {
				DataOutputStream output = new DataOutputStream(socket.getOutputStream());
				for (Envelope message : List.of(Envelope.newBuilder().setHello(HELLO).build(), stray)) {
					output.writeInt(message.getSerializedSize());
					message.writeTo(output);
				}
				output.flush();
				pair.await(() -> pair.b.peers().size() == 2);
				assertThat(pair.holder.holdings).isEmpty();
			}
		}
	}

	static Stream<Envelope> strays() {
		StreamKey key = StreamKey.newBuilder().setStreamId(5).build();
		return Stream.of(Envelope.newBuilder().setResponseFrame(ResponseFrame.newBuilder().setKey(key)).build(),
				Envelope.newBuilder().setCancel(Cancel.newBuilder().setKey(key)).build(),
				Envelope.newBuilder().setBodyFrame(BodyFrame.newBuilder().setKey(key)).build(),
				Envelope.getDefaultInstance().toBuilder().setReply(Reply.newBuilder().setCallId(77)).build());
	}

	private static Envelope request(ByteString requestId) {
		StreamKey key = StreamKey.newBuilder().setStreamId(1).setAttempt(1).setRequestId(requestId).build();
		return Envelope.newBuilder()
			.setForwardRequest(ForwardRequest.newBuilder().setKey(key).setCustomer("not a name!"))
			.build();
	}

	// the link may be closed at the length of a message, before the rest of it is written
	private static void sendUntilClosed(Socket socket, List<Envelope> messages) throws Exception {
		DataOutputStream output = new DataOutputStream(socket.getOutputStream());
		try {
			for (Envelope message : messages) {
				output.writeInt(message.getSerializedSize());
				message.writeTo(output);
			}
			output.flush();
		}
		catch (SocketException ex) {
			assertThat(ex).hasMessageMatching("Broken pipe|Connection reset.*");
		}
	}

	private static void drain(Socket socket) throws Exception {
		try {
			socket.getInputStream().readAllBytes();
		}
		catch (SocketException ex) {
			assertThat(ex).hasMessageContaining("reset");
		}
	}

}
