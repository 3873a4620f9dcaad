package org.vanillatrestle.internal.once;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A target's complete answer, stored for resends of the same call.
 * <p>
 * Immutable and thread safe, provided that neither the creator nor any reader modifies
 * the body array, which is not copied.
 */
public final class StoredAnswer {

	private final int status;

	private final List<Header> headers;

	private final byte[] body;

	/**
	 * Creates an answer.
	 * @param status the HTTP status
	 * @param headers the headers, which are also sent to resends
	 * @param body the complete body
	 */
	public StoredAnswer(int status, List<Header> headers, byte[] body) {
		this.status = status;
		this.headers = List.copyOf(headers);
		this.body = body;
	}

	public int status() {
		return this.status;
	}

	public List<Header> headers() {
		return this.headers;
	}

	/**
	 * Returns the body.
	 * @return the array itself, not a copy; it must not be modified
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns the size of the answer.
	 * @return the size of the body and the headers' names and values, in bytes
	 */
	public int sizeBytes() {
		int sizeBytes = this.body.length;
		for (Header header : this.headers) {
			sizeBytes += header.name().getBytes(StandardCharsets.UTF_8).length;
			sizeBytes += header.value().getBytes(StandardCharsets.UTF_8).length;
		}
		return sizeBytes;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof StoredAnswer that && this.status == that.status && this.headers.equals(that.headers)
				&& Arrays.equals(this.body, that.body);
	}

	@Override
	public int hashCode() {
		return 31 * this.status + Arrays.hashCode(this.body);
	}

	@Override
	public String toString() {
		return "status " + this.status + " with " + this.body.length + " bytes";
	}

	/**
	 * An HTTP header of an answer.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Header(String name, String value) {

	}

}
