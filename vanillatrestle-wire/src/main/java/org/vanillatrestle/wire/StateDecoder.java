package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import org.vanillatrestle.InvalidDocumentException;

/**
 * Reads bytes in two steps, message and value, and turns every fault into one exception.
 * <p>
 * Stateless and thread safe.
 */
final class StateDecoder {

	private StateDecoder() {
	}

	static <M, T> T decode(byte[] bytes, Parser<M> parser, Reader<M, T> reader) throws MalformedStateException {
		try {
			return reader.read(parser.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException | InvalidDocumentException | IllegalArgumentException ex) {
			throw new MalformedStateException("The bytes can't be read: " + ex.getMessage(), ex);
		}
	}

	static <M, T> List<T> readAll(List<M> messages, Reader<M, T> reader) throws InvalidDocumentException {
		List<T> values = new ArrayList<>(messages.size());
		for (M message : messages) {
			values.add(reader.read(message));
		}
		return values;
	}

	static IllegalArgumentException unknown(String what) {
		return new IllegalArgumentException("the kind of " + what + " is unknown");
	}

	/**
	 * Makes a value of a message.
	 *
	 * @param <M> the message's type
	 * @param <T> the value's type
	 */
	@FunctionalInterface
	interface Reader<M, T> {

		T read(M message) throws InvalidDocumentException;

	}

}
