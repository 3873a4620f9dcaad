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
	 * Reads a contract strictly.
	 * @param json the document
	 * @return the contract
	 * @throws InvalidDocumentException if the document has a fault; the message names its
	 * path
	 */
	public static Contract parse(String json) throws InvalidDocumentException {
		return ContractReader.read(json);
	}

	/**
	 * Writes a contract in its canonical form: equal contracts give equal texts.
	 * @param contract the contract
	 * @return the document, without line breaks
	 */
	public static String write(Contract contract) {
		return ContractWriter.write(contract);
	}

}
