package org.vanillatrestle;

/**
 * Thrown if a JSON document, such as settings or a contract, is invalid.
 * <p>
 * Immutable and thread safe. The message contains the path of the invalid element.
 */
public class InvalidDocumentException extends Exception {

	private static final long serialVersionUID = 1L;

	private final String path;

	/**
	 * Creates the exception.
	 * @param path the path of the invalid element, for example {@code $.services[0].kind}
	 * @param reason what is invalid and how to correct it
	 */
	public InvalidDocumentException(String path, String reason) {
		super(path + ": " + reason);
		this.path = path;
	}

	/**
	 * Returns the path of the invalid element.
	 * @return the path, for example {@code $.services[0].kind}
	 */
	public String path() {
		return this.path;
	}

}
