package org.vanillatrestle.wire.internal.link;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.TooLongFrameException;
import org.vanillatrestle.wire.generated.peer.Envelope;

/**
 * Turns length-prefixed bytes into envelopes and back.
 * <p>
 * Not thread safe; one per link. A length above the limit, a zero or negative length and
 * bytes that are no envelope raise an exception; nothing is allocated before the length
 * has been checked.
 */
public final class EnvelopeCodec extends ByteToMessageCodec<Envelope> {

	private static final int LENGTH_BYTES = 4;

	private final int maxMessageBytes;

	/**
	 * Creates a codec.
	 * @param maxMessageBytes the longest envelope accepted or sent
	 */
	public EnvelopeCodec(int maxMessageBytes) {
		super(Envelope.class, true);
		this.maxMessageBytes = maxMessageBytes;
	}

	@Override
	protected void encode(ChannelHandlerContext context, Envelope envelope, ByteBuf out) throws IOException {
		int size = envelope.getSerializedSize();
		if (size > this.maxMessageBytes) {
			throw new EncoderException(
					"A message of " + size + " bytes exceeds the limit of " + this.maxMessageBytes + " bytes.");
		}
		out.ensureWritable(LENGTH_BYTES + size);
		out.writeInt(size);
		ByteBuffer target = out.internalNioBuffer(out.writerIndex(), size);
		CodedOutputStream output = CodedOutputStream.newInstance(target);
		envelope.writeTo(output);
		output.flush();
		out.writerIndex(out.writerIndex() + size);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
		if (in.readableBytes() < LENGTH_BYTES) {
			return;
		}
		int size = in.getInt(in.readerIndex());
		if (size > this.maxMessageBytes) {
			throw new TooLongFrameException("A peer announced a message of " + size + " bytes, above the limit of "
					+ this.maxMessageBytes + " bytes.");
		}
		if (size <= 0) {
			throw new CorruptedFrameException("A peer announced a message of " + size + " bytes.");
		}
		if (in.readableBytes() < LENGTH_BYTES + size) {
			return;
		}
		in.skipBytes(LENGTH_BYTES);
		ByteBuf message = in.readSlice(size);
		out.add(parse(message));
	}

	private Envelope parse(ByteBuf message) {
		try {
			return Envelope.parseFrom(message.nioBuffer());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new CorruptedFrameException("A peer sent bytes that are no message: " + ex.getMessage());
		}
	}

}
