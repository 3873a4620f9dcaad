package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The files of a data folder in the file system.
 * <p>
 * The lock is held until this object is closed. Not thread safe.
 */
public final class FolderFiles implements StorageFiles {

	private static final String LOCK_FILE = "lock";

	private final Path folder;

	private FileChannel lockChannel;

	/**
	 * Gives access to the files of a folder and creates the folder if it does not exist.
	 * @param folder the folder
	 * @throws IOException if the folder can't be created
	 */
	public FolderFiles(Path folder) throws IOException {
		this.folder = folder;
		Files.createDirectories(folder);
	}

	@Override
	public void lock() throws IOException {
		FileChannel channel = FileChannel.open(this.folder.resolve(LOCK_FILE), StandardOpenOption.CREATE,
				StandardOpenOption.WRITE);
		if (!tryLock(channel)) {
			channel.close();
			throw new StorageException(StorageException.Reason.LOCKED,
					"data folder " + this.folder + " is in use by another process");
		}
		this.lockChannel = channel;
	}

	private static boolean tryLock(FileChannel channel) throws IOException {
		try {
			FileLock lock = channel.tryLock();
			return lock != null;
		}
		catch (OverlappingFileLockException ex) {
			return false;
		}
	}

	@Override
	public SortedSet<String> names() throws IOException {
		SortedSet<String> names = new TreeSet<>();
		try (Stream<Path> files = Files.list(this.folder)) {
			files.map((file) -> file.getFileName().toString()).forEach(names::add);
		}
		names.remove(LOCK_FILE);
		return names;
	}

	@Override
	public byte[] read(String name) throws IOException {
		return Files.readAllBytes(this.folder.resolve(name));
	}

	@Override
	public AppendableFile openForAppend(String name) throws IOException {
		return new ChannelFile(FileChannel.open(this.folder.resolve(name), StandardOpenOption.CREATE,
				StandardOpenOption.WRITE, StandardOpenOption.APPEND));
	}

	@Override
	public void truncate(String name, long sizeBytes) throws IOException {
		try (FileChannel channel = FileChannel.open(this.folder.resolve(name), StandardOpenOption.WRITE)) {
			channel.truncate(sizeBytes);
			channel.force(true);
		}
	}

	@Override
	public void rename(String from, String to) throws IOException {
		Files.move(this.folder.resolve(from), this.folder.resolve(to), StandardCopyOption.ATOMIC_MOVE,
				StandardCopyOption.REPLACE_EXISTING);
	}

	@Override
	public void delete(String name) throws IOException {
		Files.delete(this.folder.resolve(name));
	}

	@Override
	public void syncFolder() throws IOException {
		try (FileChannel channel = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	@Override
	public void close() throws IOException {
		if (this.lockChannel != null) {
			this.lockChannel.close();
		}
	}

	/**
	 * A file that is written through a channel.
	 */
	private record ChannelFile(FileChannel channel) implements AppendableFile {

		@Override
		public void write(ByteBuffer bytes) throws IOException {
			while (bytes.hasRemaining()) {
				this.channel.write(bytes);
			}
		}

		@Override
		public void sync() throws IOException {
			this.channel.force(false);
		}

		@Override
		public void close() throws IOException {
			this.channel.close();
		}

	}

}
