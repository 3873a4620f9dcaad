package org.vanillatrestle.daemon.internal.ledger;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.internal.json.JsonObject;
import org.vanillatrestle.internal.once.LedgerCommand;

/**
 * Reads and writes the file that specifies how a newly created ledger is to be opened.
 * The file is stored next to the replica's folder and is used until the ledger is open.
 * <p>
 * Stateless and thread safe.
 */
public final class LedgerOpeningFile {

	private static final String FILE = "ledger-opening.json";

	private LedgerOpeningFile() {
	}

	/**
	 * Writes the file and syncs it to disk.
	 * @param dataFolder the VM's data folder
	 * @param generation the first generation of keys
	 * @param afterLoss whether an earlier ledger of the data centre was lost
	 * @throws IOException if the file can't be written or synced
	 */
	public static void write(Path dataFolder, long generation, boolean afterLoss) throws IOException {
		Path file = dataFolder.resolve(FILE);
		Files.writeString(file, "{\"generation\": " + generation + ", \"afterLoss\": " + afterLoss + "}\n");
		sync(file, StandardOpenOption.WRITE);
		sync(dataFolder, StandardOpenOption.READ);
	}

	private static void sync(Path path, StandardOpenOption option) throws IOException {
		try (FileChannel channel = FileChannel.open(path, option)) {
			channel.force(true);
		}
	}

	static Optional<LedgerCommand.Open> read(Path dataFolder) throws IOException {
		Path file = dataFolder.resolve(FILE);
		if (!Files.exists(file)) {
			return Optional.empty();
		}
		try {
			JsonObject top = JsonObject.parse(Files.readString(file));
			return Optional
				.of(new LedgerCommand.Open(top.integer("generation", 1, Long.MAX_VALUE), top.bool("afterLoss", true)));
		}
		catch (InvalidDocumentException ex) {
			throw new IOException("The file " + file + " is not valid: " + ex.getMessage(), ex);
		}
	}

}
