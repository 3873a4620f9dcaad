package org.vanillatrestle.daemon.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.SortedSet;

/**
 * The files of one data folder. Tests implement this interface to simulate a disk with
 * torn writes, failures or no free space. Not thread safe.
 */
public interface StorageFiles extends Closeable {

	/**
	 * Locks the folder against other processes until it is closed.
	 * @throws StorageException if another process uses the folder
	 * @throws IOException if the lock file can't be created or written
	 */
	void lock() throws IOException;

	/**
	 * Returns the names of all files except the lock file.
	 * @return the names, sorted
	 * @throws IOException if the folder can't be read
	 */
	SortedSet<String> names() throws IOException;

	/**
	 * Reads a file.
	 * @param name the name of the file
	 * @return the contents of the file
	 * @throws IOException if the file can't be read
	 */
	byte[] read(String name) throws IOException;

	/**
	 * Opens a file for appending and creates it if it does not exist.
	 * @param name the name of the file
	 * @return the open file
	 * @throws IOException if the file can't be opened
	 */
	AppendableFile openForAppend(String name) throws IOException;

	/**
	 * Truncates a file and syncs it.
	 * @param name the name of the file
	 * @param sizeBytes the new size, in bytes
	 * @throws IOException if the file can't be truncated
	 */
	void truncate(String name, long sizeBytes) throws IOException;

	/**
	 * Renames a file and replaces an existing file with the new name.
	 * @param from the old name
	 * @param to the new name
	 * @throws IOException if the file can't be renamed
	 */
	void rename(String from, String to) throws IOException;

	/**
	 * Deletes a file.
	 * @param name the name of the file
	 * @throws IOException if the file can't be deleted
	 */
	void delete(String name) throws IOException;

	/**
	 * Blocks until the creation, renaming and deletion of files is durable.
	 * @throws IOException if these changes may not be durable
	 */
	void syncFolder() throws IOException;

}
