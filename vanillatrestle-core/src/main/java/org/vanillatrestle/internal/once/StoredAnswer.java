package org.vanillatrestle.internal.once;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A target's whole answer, kept for resends of the same call.
 * <p>
 * Immutable and thread safe, provided that the body's array is left alone by whoever
 * gives or takes it.
 */
public final class StoredAnswer {

	private final int status;

	private final List<Header> headers;

	private final byte[] body;

	/**
	 * Creates an answer.
	 * @param status the HTTP status
	 * @param headers the headers that a resend gets too
	 * @param body the whole body
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
	 * Returns the body, which must not be changed.
	 * @return the body
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns how much the answer takes up.
	 * @return the size of body and headers, in bytes
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
	 * A header of an answer.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Header(String name, String value) {

	}

}
