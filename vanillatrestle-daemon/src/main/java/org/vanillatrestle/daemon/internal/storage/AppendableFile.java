package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A file to which bytes are appended. Not thread safe.
 */
public interface AppendableFile extends Closeable {

	/**
	 * Appends all remaining bytes of the buffer.
	 * @param bytes the bytes to append
	 * @throws IOException if not all bytes were written
	 */
	void write(ByteBuffer bytes) throws IOException;

	/**
	 * Blocks until all written bytes are durable.
	 * @throws IOException if the bytes may not be durable
	 */
	void sync() throws IOException;

}
