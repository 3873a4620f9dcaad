package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.SortedSet;

/**
 * The files of one data folder, so that tests can stand in a disk that tears writes,
 * fails or is full. Not thread safe.
 */
public interface StorageFiles extends Closeable {

	/**
	 * Keeps other processes out until the folder is closed.
	 * @throws StorageException if another process uses the folder
	 * @throws IOException if the folder can't be written
	 */
	void lock() throws IOException;

	/**
	 * The files but for the lock.
	 * @return their names
	 * @throws IOException if the folder can't be read
	 */
	SortedSet<String> names() throws IOException;

	/**
	 * Reads a file.
	 * @param name the file
	 * @return all its bytes
	 * @throws IOException if it can't be read
	 */
	byte[] read(String name) throws IOException;

	/**
	 * Opens a file to write at its end; creates it where it is missing.
	 * @param name the file
	 * @return the open file
	 * @throws IOException if it can't be opened
	 */
	AppendableFile append(String name) throws IOException;

	/**
	 * Cuts a file and syncs it.
	 * @param name the file
	 * @param sizeBytes the bytes to keep
	 * @throws IOException if it can't be cut
	 */
	void truncate(String name, long sizeBytes) throws IOException;

	/**
	 * Renames a file; replaces one that has the new name.
	 * @param from the old name
	 * @param to the new name
	 * @throws IOException if it can't be renamed
	 */
	void rename(String from, String to) throws IOException;

	/**
	 * Deletes a file.
	 * @param name the file
	 * @throws IOException if it can't be deleted
	 */
	void delete(String name) throws IOException;

	/**
	 * Waits until names created, renamed and deleted are on disk.
	 * @throws IOException if they may not be
	 */
	void syncFolder() throws IOException;

}
