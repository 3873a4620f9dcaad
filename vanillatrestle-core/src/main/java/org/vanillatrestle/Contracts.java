package org.vanillatrestle;

import org.vanillatrestle.internal.contract.ContractReader;
import org.vanillatrestle.internal.contract.ContractWriter;

/**
 * Reads and writes contracts as JSON.
 * <p>
 * Stateless and thread safe.
 *
 * <pre>
 * Contract contract = Contracts.parse(Files.readString(file));
 * boolean allowed = contract.allows(new RegionId("frankfurt"));
 * </pre>
 */
public final class Contracts {

	private Contracts() {
	}

	/**
	 * Reads a contract from JSON, with strict validation.
	 * @param json the JSON document
	 * @return the contract
	 * @throws InvalidDocumentException if the document is invalid; the message contains
	 * the path of the invalid element
	 */
	public static Contract parse(String json) throws InvalidDocumentException {
		return ContractReader.read(json);
	}

	/**
	 * Writes a contract as JSON in canonical form: equal contracts produce equal
	 * documents.
	 * @param contract the contract
	 * @return the JSON document, without line breaks
	 */
	public static String write(Contract contract) {
		return ContractWriter.write(contract);
	}

}
