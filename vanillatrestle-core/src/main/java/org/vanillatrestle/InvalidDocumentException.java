package org.vanillatrestle;

/**
 * A JSON document, such as settings or a contract, has a fault.
 * <p>
 * Immutable and thread safe. The message names the path of the fault.
 */
public class InvalidDocumentException extends Exception {

	private static final long serialVersionUID = 1L;

	private final String path;

	/**
	 * Creates the exception.
	 * @param path where the fault is, for example {@code $.services[0].kind}
	 * @param reason what is wrong and how to mend it
	 */
	public InvalidDocumentException(String path, String reason) {
		super(path + ": " + reason);
		this.path = path;
	}

	/**
	 * Returns where the fault is.
	 * @return the path, for example {@code $.services[0].kind}
	 */
	public String path() {
		return this.path;
	}

}
