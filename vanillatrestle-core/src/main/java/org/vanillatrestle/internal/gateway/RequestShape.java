package org.vanillatrestle.internal.gateway;

import java.util.List;

import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.declaration.DeclaredService;

/**
 * The properties of a request on which the choice of a target depends.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service that is to serve the request
 * @param promptTokens the length of the prompt in tokens, 0 if there is none
 * @param maxOutputTokens the most tokens of the answer, 0 if not specified
 * @param parts the parts of the prompt in order, empty if not specified
 * @param pauseObjectiveMillis the longest acceptable pause in milliseconds between two
 * events of a stream
 * @param maxReadingShare the highest share of its time that a target may spend reading
 * prompts and still get the request
 * @param timeoutMillis the time in milliseconds in which the answer has to be complete,
 * {@link #NO_TIMEOUT} if there is no limit
 */
public record RequestShape(DeclaredService service, int promptTokens, int maxOutputTokens, List<PromptPart> parts,
		long pauseObjectiveMillis, double maxReadingShare, long timeoutMillis) {

	public static final long NO_TIMEOUT = Long.MAX_VALUE;

	/**
	 * The highest share of its time that a target may spend reading prompts and still get
	 * another request, by the priority of the request. A stream's event takes several
	 * engine steps, and a step that reads prompts takes many times as long as one that
	 * does not. Above such a share long answers miss their deadlines, so the least urgent
	 * requests are rejected first.
	 */
	private static final double[] MAX_READING_SHARES = { 0.8, 0.6, 0.3 };

	public RequestShape {
		parts = List.copyOf(parts);
	}

	/**
	 * Creates the properties of a request whose answer may take any time.
	 * @param service the service that is to serve the request
	 * @param promptTokens the length of the prompt in tokens, 0 if there is none
	 * @param maxOutputTokens the most tokens of the answer, 0 if not specified
	 * @param parts the parts of the prompt in order, empty if not specified
	 * @param pauseObjectiveMillis the longest acceptable pause in milliseconds between
	 * two events of a stream
	 * @param maxReadingShare the highest share of its time that a target may spend
	 * reading prompts and still get the request
	 */
	public RequestShape(DeclaredService service, int promptTokens, int maxOutputTokens, List<PromptPart> parts,
			long pauseObjectiveMillis, double maxReadingShare) {
		this(service, promptTokens, maxOutputTokens, parts, pauseObjectiveMillis, maxReadingShare, NO_TIMEOUT);
	}

	/**
	 * Returns the highest reading share at which a target may still get a request of a
	 * route.
	 * @param route the route
	 * @return the share of the target's time
	 */
	public static double maxReadingShare(DeclaredRoute route) {
		return maxReadingShare(route.priority());
	}

	static double maxReadingShare(int priority) {
		return MAX_READING_SHARES[Math.max(0, Math.min(MAX_READING_SHARES.length - 1, priority))];
	}

	/**
	 * Returns the parts that other requests may have in common: all but the last, which
	 * belongs to the request or its session.
	 * @return the shared parts in order
	 */
	public List<PromptPart> sharedParts() {
		return this.parts.isEmpty() ? this.parts : this.parts.subList(0, this.parts.size() - 1);
	}

	int sharedTokens() {
		return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
	}

}
