package org.vanillatrestle.internal.book;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.book.BookCommand.Apply;
import org.vanillatrestle.internal.book.BookCommand.Remove;

/**
 * A requested change of a contract that has not yet been accepted or rejected.
 * <p>
 * Immutable and thread safe.
 *
 * @param index the index of the command in the replicated log
 * @param operator the operator's name
 * @param customer the customer
 * @param revision the requested revision, 0 if the document is invalid
 * @param contract the contract, empty for a removal or an invalid document
 * @param atMillis the time of the proposal, in milliseconds since 1970
 * @param sha256 the SHA-256 of the canonical document in hexadecimal, empty for a removal
 * or an invalid document
 */
record ContractChange(long index, String operator, CustomerId customer, long revision, Optional<Contract> contract,
		long atMillis, String sha256) {

	static ContractChange of(long index, Apply command, Contract contract) {
		return new ContractChange(index, command.operator(), command.customer(), contract.revision(),
				Optional.of(contract), command.proposedAtMillis(), digest(contract));
	}

	static ContractChange of(long index, Remove command) {
		return new ContractChange(index, command.operator(), command.customer(), command.revision(), Optional.empty(),
				command.proposedAtMillis(), "");
	}

	static ContractChange unreadable(long index, Apply command) {
		return new ContractChange(index, command.operator(), command.customer(), 0, Optional.empty(),
				command.proposedAtMillis(), "");
	}

	BookEntry entry() {
		return this.contract.map((document) -> BookEntry.of(this.index, document))
			.orElseGet(() -> BookEntry.removal(this.index, this.customer, this.revision));
	}

	RevisionRecord record() {
		return new RevisionRecord(this.revision, this.index, this.operator, this.atMillis, this.contract.isEmpty(),
				this.sha256);
	}

	private static String digest(Contract contract) {
		try {
			byte[] document = Contracts.write(contract).getBytes(StandardCharsets.UTF_8);
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(document));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available, although every Java platform must provide it.",
					ex);
		}
	}

}
