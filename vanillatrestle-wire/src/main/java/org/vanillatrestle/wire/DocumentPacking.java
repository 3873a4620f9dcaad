package org.vanillatrestle.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

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

	private DocumentPacking() {
	}

	/**
	 * Packs a document.
	 * @param document the document
	 * @return the packed bytes
	 */
	static ByteString pack(byte[] document) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		ByteString.Output packed = ByteString.newOutput();
		try (OutputStream output = new DeflaterOutputStream(packed, deflater)) {
			output.write(document);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("A document could not be packed in memory.", ex);
		}
		finally {
			deflater.end();
		}
		return packed.toByteString();
	}

	/**
	 * Unpacks a document.
	 * @param packed the packed bytes
	 * @return the document
	 * @throws IllegalArgumentException if the bytes are no packed document
	 */
	static byte[] unpack(ByteString packed) {
		try (InputStream input = new InflaterInputStream(packed.newInput())) {
			byte[] document = input.readNBytes(MAX_BYTES + 1);
			if (document.length > MAX_BYTES) {
				throw new IllegalArgumentException("a packed document is too large");
			}
			return document;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("a packed document can't be read", ex);
		}
	}

}
