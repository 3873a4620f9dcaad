package org.vanillatrestle.daemon.internal.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An in-memory data folder that tracks which changes are synced and fails from a chosen
 * operation on.
 */
public final class FakeStorageFiles implements StorageFiles {

	private final TreeMap<String, Content> visible = new TreeMap<>();

	private TreeMap<String, Content> durable = new TreeMap<>();

	private int operationCount;

	private int failFromOperation = Integer.MAX_VALUE;

	private boolean failureTriggered;

	/**
	 * Makes the n-th operation from now, and all operations after it, fail.
	 */
	public void failFromOperation(int operation) {
		this.operationCount = 0;
		this.failFromOperation = operation;
		this.failureTriggered = false;
	}

	public int operationCount() {
		return this.operationCount;
	}

	public boolean hasFailed() {
		return this.failureTriggered;
	}

	/**
	 * Simulates a crash: unsynced names are lost unless all bytes are kept, and each file
	 * keeps a share of its unsynced bytes.
	 * @param kept the share of unsynced bytes that are kept, from 0 to 1
	 * @param damaged whether the last kept unsynced byte of each file is corrupted
	 */
	public void crash(double kept, boolean damaged) {
		boolean keepNames = kept == 1;
		TreeMap<String, Content> names = new TreeMap<>(keepNames ? this.visible : this.durable);
		names.values().forEach((content) -> content.crash(kept, damaged));
		restart(names);
	}

	/**
	 * Simulates a loss of power: each unsynced name, and the unsynced bytes of each file,
	 * are kept or lost independently of the others.
	 */
	public void losePower(Random random) {
		TreeMap<String, Content> names = new TreeMap<>(this.durable);
		names.keySet().removeIf((name) -> !this.visible.containsKey(name) && random.nextBoolean());
		this.visible.forEach((name, content) -> {
			if (random.nextBoolean()) {
				names.put(name, content);
			}
		});
		names.values().forEach((content) -> content.crash(random.nextInt(3) / 2.0, random.nextBoolean()));
		restart(names);
	}

	private void restart(TreeMap<String, Content> names) {
		this.visible.clear();
		this.visible.putAll(names);
		this.durable = new TreeMap<>(names);
		failFromOperation(Integer.MAX_VALUE);
	}

	byte[] bytes(String name) {
		return this.visible.get(name).bytes.toByteArray();
	}

	void replace(String name, byte[] bytes) {
		Content content = new Content();
		content.bytes.writeBytes(bytes);
		content.syncedBytes = bytes.length;
		this.visible.put(name, content);
		this.durable.put(name, content);
	}

	private void countOperationOrFail() throws IOException {
		this.operationCount++;
		if (this.operationCount >= this.failFromOperation) {
			this.failureTriggered = true;
			throw new IOException("no space left on device");
		}
	}

	@Override
	public void lock() {
	}

	@Override
	public SortedSet<String> names() {
		return new TreeSet<>(this.visible.keySet());
	}

	@Override
	public byte[] read(String name) {
		return bytes(name);
	}

	@Override
	public AppendableFile openForAppend(String name) throws IOException {
		countOperationOrFail();
		return new FakeFile(this.visible.computeIfAbsent(name, (key) -> new Content()));
	}

	@Override
	public void truncate(String name, long sizeBytes) throws IOException {
		countOperationOrFail();
		replace(name, Arrays.copyOf(bytes(name), (int) sizeBytes));
	}

	@Override
	public void rename(String from, String to) throws IOException {
		countOperationOrFail();
		this.visible.put(to, this.visible.remove(from));
	}

	@Override
	public void delete(String name) throws IOException {
		countOperationOrFail();
		this.visible.remove(name);
	}

	@Override
	public void syncFolder() throws IOException {
		countOperationOrFail();
		this.durable = new TreeMap<>(this.visible);
	}

	@Override
	public void close() {
	}

	/**
	 * The contents of a file, with the number of synced bytes.
	 */
	private static final class Content {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private int syncedBytes;

		void crash(double kept, boolean damaged) {
			byte[] all = this.bytes.toByteArray();
			int keptBytes = this.syncedBytes + (int) ((all.length - this.syncedBytes) * kept);
			if (damaged && keptBytes > this.syncedBytes) {
				all[keptBytes - 1] ^= 1;
			}
			this.bytes.reset();
			this.bytes.write(all, 0, keptBytes);
			this.syncedBytes = keptBytes;
		}

	}

	/**
	 * A file that is open for appending.
	 */
	private final class FakeFile implements AppendableFile {

		private final Content content;

		FakeFile(Content content) {
			this.content = content;
		}

		@Override
		public void write(ByteBuffer bytes) throws IOException {
			byte[] copy = new byte[bytes.remaining()];
			bytes.get(copy);
			try {
				countOperationOrFail();
			}
			catch (IOException ex) {
				this.content.bytes.write(copy, 0, copy.length / 2);
				throw ex;
			}
			this.content.bytes.writeBytes(copy);
		}

		@Override
		public void sync() throws IOException {
			countOperationOrFail();
			this.content.syncedBytes = this.content.bytes.size();
		}

		@Override
		public void close() {
		}

	}

}
