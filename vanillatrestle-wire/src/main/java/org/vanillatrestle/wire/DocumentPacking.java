package org.vanillatrestle.wire;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;

/**
 * Packs documents of operators, which repeat themselves a lot, in the deflate format.
 * <p>
 * Stateless and thread safe.
 */
final class DocumentPacking {

	/**
	 * The largest document taken: several times what an operator may send.
	 */
	private static final int MAX_BYTES = 64 * 1_024 * 1_024;

	private static final int CHUNK_BYTES = 16_384;

	private DocumentPacking() {
	}

	/**
	 * Packs a document.
	 * @param document the document
	 * @return the packed bytes
	 */
	static ByteString pack(byte[] document) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(document);
			deflater.finish();
			ByteString.Output packed = ByteString.newOutput();
			byte[] chunk = new byte[CHUNK_BYTES];
			while (!deflater.finished()) {
				packed.write(chunk, 0, deflater.deflate(chunk));
			}
			return packed.toByteString();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Unpacks a document.
	 * @param packed the packed bytes
	 * @return the document
	 * @throws IllegalArgumentException if the bytes are no packed document
	 */
	static byte[] unpack(ByteString packed) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(packed.toByteArray());
			ByteArrayOutputStream document = new ByteArrayOutputStream();
			byte[] chunk = new byte[CHUNK_BYTES];
			while (!inflater.finished()) {
				int count = inflater.inflate(chunk);
				if ((count == 0 && !inflater.finished()) || document.size() > MAX_BYTES) {
					throw new IllegalArgumentException("a packed document is cut short or too large");
				}
				document.write(chunk, 0, count);
			}
			return document.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new IllegalArgumentException("a packed document can't be read", ex);
		}
		finally {
			inflater.end();
		}
	}

}
