package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A file that is written at its end. Not thread safe.
 */
public interface AppendableFile extends Closeable {

	/**
	 * Writes all the bytes.
	 * @param bytes the bytes
	 * @throws IOException if not all were written
	 */
	void write(ByteBuffer bytes) throws IOException;

	/**
	 * Waits until all that was written is on disk.
	 * @throws IOException if it may not be
	 */
	void sync() throws IOException;

}
