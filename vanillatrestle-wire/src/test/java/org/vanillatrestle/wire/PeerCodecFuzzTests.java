package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CodecException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanillatrestle.wire.generated.peer.Channel;
import org.vanillatrestle.wire.generated.peer.Datagram;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.Hello;
import org.vanillatrestle.wire.internal.link.EnvelopeCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Bytes of all kinds against the codecs: messages come out whole however the bytes are
 * cut, and noise gives a clear error. Leaks are found by the leak detector of the build.
 */
class PeerCodecFuzzTests {

	private static final int LIMIT_BYTES = 4096;

	@Property(seed = "4721", tries = 300)
	void shouldReadMessagesHoweverTheBytesAreCut(@ForAll @Size(max = 8) List<@IntRange(max = 3000) Integer> sizes,
			@ForAll @IntRange(min = 1, max = 700) int cutBytes) {
		List<Envelope> sent = sizes.stream().map(PeerCodecFuzzTests::datagram).toList();
		ByteBuf bytes = encode(sent);
		EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCodec(LIMIT_BYTES));
		while (bytes.isReadable()) {
			channel.writeInbound(bytes.readRetainedSlice(Math.min(cutBytes, bytes.readableBytes())));
		}
		bytes.release();
		assertThat(read(channel)).isEqualTo(sent);
		assertThat(channel.finishAndReleaseAll()).isFalse();
	}

	@Property(seed = "4722", tries = 500)
	void shouldSurviveAnyBytes(@ForAll @Size(max = 200) byte[] noise) {
		EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCodec(LIMIT_BYTES));
		assertThat(isReadOrRefused(() -> channel.writeInbound(Unpooled.wrappedBuffer(noise)))).isTrue();
		assertThat(isReadOrRefused(channel::finishAndReleaseAll)).isTrue();
	}

	@Property(seed = "4723", tries = 500)
	void shouldSurviveChangedBytes(@ForAll @IntRange(max = 400) int position, @ForAll byte value) {
		ByteBuf bytes = encode(List.of(hello(), datagram(100), datagram(150)));
		bytes.setByte(position % bytes.readableBytes(), value);
		EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCodec(LIMIT_BYTES));
		assertThat(isReadOrRefused(() -> channel.writeInbound(bytes))).isTrue();
		assertThat(isReadOrRefused(channel::finishAndReleaseAll)).isTrue();
	}

	@Property(seed = "4724", tries = 500)
	void shouldReadOrRefuseAnyPayload(@ForAll("payloads") byte[] noise) {
		assertThat(refusedOrRead(() -> MembershipCodec.decodeGossip(noise))).isTrue();
		assertThat(refusedOrRead(() -> MembershipCodec.decodeSummary(noise))).isTrue();
		assertThat(refusedOrRead(() -> TargetCodec.decode(noise))).isTrue();
	}

	@Provide
	Arbitrary<byte[]> payloads() {
		return Arbitraries.bytes().array(byte[].class).ofMaxSize(60);
	}

	private static boolean isReadOrRefused(Runnable action) {
		try {
			action.run();
			return true;
		}
		catch (CodecException ex) {
			return ex.getMessage().contains("A peer ");
		}
	}

	private static boolean refusedOrRead(Decoding decoding) {
		try {
			return decoding.run() != null;
		}
		catch (PeerException ex) {
			return ex.reason() == PeerException.Reason.PROTOCOL && ex.getMessage().contains("can't be read");
		}
	}

	private static List<Envelope> read(EmbeddedChannel channel) {
		List<Envelope> read = new ArrayList<>();
		for (Envelope envelope = channel.readInbound(); envelope != null; envelope = channel.readInbound()) {
			read.add(envelope);
		}
		return read;
	}

	private static ByteBuf encode(List<Envelope> envelopes) {
		EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCodec(LIMIT_BYTES));
		envelopes.forEach(channel::writeOutbound);
		ByteBuf all = Unpooled.buffer();
		for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
			all.writeBytes(part);
			part.release();
		}
		channel.finishAndReleaseAll();
		return all;
	}

	private static Envelope hello() {
		Hello hello = Hello.newBuilder().setVm("vm-a").setDataCentre("dc-1").setRegion("bagmati").build();
		return Envelope.newBuilder().setHello(hello).build();
	}

	private static Envelope datagram(int sizeBytes) {
		Datagram datagram = Datagram.newBuilder()
			.setChannel(Channel.LOG)
			.setPayload(ByteString.copyFrom(new byte[sizeBytes]))
			.build();
		return Envelope.newBuilder().setDatagram(datagram).build();
	}

	/**
	 * Reads a payload.
	 */
	private interface Decoding {

		Object run() throws PeerException;

	}

}
