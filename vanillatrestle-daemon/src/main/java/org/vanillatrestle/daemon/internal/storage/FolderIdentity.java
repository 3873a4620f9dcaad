package org.vanillatrestle.daemon.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HexFormat;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.ReplicaId;
import org.vanillatrestle.internal.log.StorageId;

/**
 * Reads and writes the file that identifies the replica that owns a data folder. The file
 * is written last when a folder is created and never changes.
 * <p>
 * Stateless except for the secure random generator; thread safe.
 */
final class FolderIdentity {

	static final String FILE = "identity";

	private static final String TEMPORARY_FILE = "identity.tmp";

	private static final String FORMAT = "vanillatrestle-log-1";

	private static final int ID_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private FolderIdentity() {
	}

	static String randomId() {
		byte[] bytes = new byte[ID_BYTES];
		RANDOM.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	static void write(StorageFiles files, ReplicaId replica) throws IOException {
		String text = FORMAT + "\n" + replica.vm().value() + "\n" + replica.storage().value() + "\n";
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		ByteBuffer checksummed = ByteBuffer.allocate(bytes.length + Integer.BYTES);
		checksummed.put(bytes).putInt(RecordFormat.crc32c(bytes, 0, bytes.length)).flip();
		try (AppendableFile file = files.openForAppend(TEMPORARY_FILE)) {
			file.write(checksummed);
			file.sync();
		}
		files.rename(TEMPORARY_FILE, FILE);
		files.syncFolder();
	}

	static ReplicaId read(StorageFiles files) throws IOException {
		byte[] bytes = files.read(FILE);
		int length = bytes.length - Integer.BYTES;
		if (length < 0 || ByteBuffer.wrap(bytes).getInt(length) != RecordFormat.crc32c(bytes, 0, length)) {
			throw damaged();
		}
		String[] lines = new String(bytes, 0, length, StandardCharsets.UTF_8).split("\n");
		if (lines.length != 3 || !lines[0].equals(FORMAT)) {
			throw damaged();
		}
		return new ReplicaId(new VmId(lines[1]), new StorageId(lines[2]));
	}

	private static StorageException damaged() {
		return new StorageException(StorageException.Reason.DAMAGED, "the identity file is damaged");
	}

}
