package org.vanillatrestle.daemon.internal.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A disk in memory that keeps apart what is not synced, and fails at a chosen operation.
 */
public final class FakeFiles implements StorageFiles {

	private final TreeMap<String, Content> visible = new TreeMap<>();

	private TreeMap<String, Content> durable = new TreeMap<>();

	private int operations;

	private int failAt = Integer.MAX_VALUE;

	private boolean failed;

	/**
	 * Lets the n-th operation from now on, and all after it, fail.
	 */
	public void failAt(int operation) {
		this.operations = 0;
		this.failAt = operation;
		this.failed = false;
	}

	public int operations() {
		return this.operations;
	}

	public boolean hasFailed() {
		return this.failed;
	}

	/**
	 * Crashes: names not synced are lost, and of each file's unsynced bytes some stay.
	 * @param kept the share of unsynced bytes that stay, from 0 to 1
	 * @param damaged whether the last byte that stays is changed
	 */
	public void crash(double kept, boolean damaged) {
		boolean keepNames = kept == 1;
		TreeMap<String, Content> names = new TreeMap<>(keepNames ? this.visible : this.durable);
		names.values().forEach((content) -> content.crash(kept, damaged));
		this.visible.clear();
		this.visible.putAll(names);
		this.durable = new TreeMap<>(names);
		failAt(Integer.MAX_VALUE);
	}

	byte[] bytes(String name) {
		return this.visible.get(name).bytes.toByteArray();
	}

	void replace(String name, byte[] bytes) {
		Content content = new Content();
		content.bytes.writeBytes(bytes);
		content.synced = bytes.length;
		this.visible.put(name, content);
		this.durable.put(name, content);
	}

	private void step() throws IOException {
		this.operations++;
		if (this.operations >= this.failAt) {
			this.failed = true;
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
	public AppendableFile append(String name) throws IOException {
		step();
		return new FakeFile(this.visible.computeIfAbsent(name, (key) -> new Content()));
	}

	@Override
	public void truncate(String name, long sizeBytes) throws IOException {
		step();
		replace(name, Arrays.copyOf(bytes(name), (int) sizeBytes));
	}

	@Override
	public void rename(String from, String to) throws IOException {
		step();
		this.visible.put(to, this.visible.remove(from));
	}

	@Override
	public void delete(String name) throws IOException {
		step();
		this.visible.remove(name);
	}

	@Override
	public void syncFolder() throws IOException {
		step();
		this.durable = new TreeMap<>(this.visible);
	}

	@Override
	public void close() {
	}

	/**
	 * The bytes of a file.
	 */
	private static final class Content {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private int synced;

		void crash(double kept, boolean damaged) {
			byte[] all = this.bytes.toByteArray();
			int stay = this.synced + (int) ((all.length - this.synced) * kept);
			if (damaged && stay > this.synced) {
				all[stay - 1] ^= 1;
			}
			this.bytes.reset();
			this.bytes.write(all, 0, stay);
			this.synced = stay;
		}

	}

	/**
	 * An open file.
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
				step();
			}
			catch (IOException ex) {
				this.content.bytes.write(copy, 0, copy.length / 2);
				throw ex;
			}
			this.content.bytes.writeBytes(copy);
		}

		@Override
		public void sync() throws IOException {
			step();
			this.content.synced = this.content.bytes.size();
		}

		@Override
		public void close() {
		}

	}

}
