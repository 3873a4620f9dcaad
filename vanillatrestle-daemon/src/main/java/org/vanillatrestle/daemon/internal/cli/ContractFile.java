package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;

/**
 * A contract read from a file.
 * <p>
 * Immutable and thread safe.
 *
 * @param file the path of the file
 * @param contract the contract
 */
record ContractFile(Path file, Contract contract) {

	/**
	 * Reads a contract file, or all JSON files of a directory in the order of their
	 * names.
	 * @param path the file or directory
	 * @return the contracts
	 * @throws CommandException if any file can't be read or is invalid; no contract is
	 * applied in this case
	 */
	static List<ContractFile> readAll(Path path) throws CommandException {
		List<ContractFile> contracts = new ArrayList<>();
		for (Path file : files(path)) {
			contracts.add(read(file));
		}
		if (contracts.isEmpty()) {
			throw new CommandException(ExitCode.INVALID, "no *.json file was found in " + path);
		}
		return contracts;
	}

	private static List<Path> files(Path path) throws CommandException {
		if (!Files.isDirectory(path)) {
			return List.of(path);
		}
		try (Stream<Path> files = Files.list(path)) {
			return files.filter((file) -> file.getFileName().toString().endsWith(".json")).sorted().toList();
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.INVALID, "the directory " + path + " can't be read");
		}
	}

	private static ContractFile read(Path file) throws CommandException {
		try {
			return new ContractFile(file, Contracts.parse(Files.readString(file)));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.INVALID, "the file " + file + " can't be read");
		}
		catch (InvalidDocumentException ex) {
			throw new CommandException(ExitCode.INVALID, file + " is invalid: " + ex.getMessage());
		}
	}

}
