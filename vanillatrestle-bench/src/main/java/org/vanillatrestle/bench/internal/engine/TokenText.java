package org.vanillatrestle.bench.internal.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The text that the stand-in engine generates for a model and a prompt. It follows from
 * these two alone, so that a caller can check a whole answer.
 * <p>
 * Immutable and thread safe.
 */
public final class TokenText {

	private static final int SEED_BYTES = 8;

	private static final long MIX = 0x9E3779B97F4A7C15L;

	private static final int DIGITS = 6;

	private final long seed;

	private TokenText(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns the text for a model and a prompt.
	 * @param model the model
	 * @param prompt the prompt, all messages joined
	 * @return the text
	 */
	public static TokenText of(String model, String prompt) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			byte[] hash = digest.digest((model + "\n" + prompt).getBytes(StandardCharsets.UTF_8));
			long seed = 0;
			for (int i = 0; i < SEED_BYTES; i++) {
				seed = (seed << Byte.SIZE) | (hash[i] & 0xff);
			}
			return new TokenText(seed);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Returns one token.
	 * @param index its place in the answer, from 0
	 * @return the token's text with a space at its end
	 */
	public String token(long index) {
		long mixed = (this.seed + index) * MIX;
		mixed = (mixed ^ (mixed >>> 29)) * MIX;
		return HexFormat.of().toHexDigits(mixed ^ (mixed >>> 32), DIGITS) + " ";
	}

	/**
	 * Returns the start of the answer.
	 * @param count how many tokens
	 * @return their text
	 */
	public String first(long count) {
		StringBuilder text = new StringBuilder();
		for (long i = 0; i < count; i++) {
			text.append(token(i));
		}
		return text.toString();
	}

}
