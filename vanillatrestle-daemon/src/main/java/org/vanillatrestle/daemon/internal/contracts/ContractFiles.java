package org.vanillatrestle.daemon.internal.contracts;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;

/**
 * Reads contracts from the JSON files of a folder.
 * <p>
 * Stateless and thread safe.
 */
public final class ContractFiles {

	private ContractFiles() {
	}

	/**
	 * Reads all contracts of a folder, sorted by file name.
	 * @param folder the folder
	 * @return the contracts
	 * @throws IOException if the folder can't be read or a file has a fault
	 */
	public static List<Contract> readAll(Path folder) throws IOException {
		List<Path> files = new ArrayList<>();
		try (DirectoryStream<Path> entries = Files.newDirectoryStream(folder, "*.json")) {
			entries.forEach(files::add);
		}
		files.sort(null);
		List<Contract> contracts = new ArrayList<>();
		for (Path file : files) {
			contracts.add(read(file));
		}
		return contracts;
	}

	private static Contract read(Path file) throws IOException {
		try {
			return Contracts.parse(Files.readString(file));
		}
		catch (InvalidDocumentException ex) {
			throw new IOException("The contract file " + file + " has a fault. " + ex.getMessage(), ex);
		}
	}

}
