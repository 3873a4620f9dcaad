package org.vanillatrestle.bench.internal.load;

import org.vanillatrestle.bench.internal.engine.TokenText;

/**
 * What the load generator asks for.
 * <p>
 * Immutable and thread safe.
 *
 * @param kind the kind of request
 * @param model the model of chat requests
 * @param service the service of plain requests, empty to call a service directly
 * @param maxTokens how many tokens a chat answer has
 * @param promptChars length of the shared beginning of prompts
 * @param prefixes how many shared beginnings there are
 * @param bearerKey the caller's key, empty for none
 */
public record RequestTemplate(RequestKind kind, String model, String service, int maxTokens, int promptChars,
		int prefixes, String bearerKey) {

	private static final String SENTENCE = "The endpoint was tested at three doses in two species. ";

	/**
	 * Makes a template of short requests without shared beginnings.
	 * @param kind the kind of request
	 * @param name the model of chat requests or the service of plain ones
	 * @param maxTokens how many tokens a chat answer has
	 * @param bearerKey the caller's key, empty for none
	 * @return the template
	 */
	public static RequestTemplate of(RequestKind kind, String name, int maxTokens, String bearerKey) {
		return new RequestTemplate(kind, name, name, maxTokens, 0, 1, bearerKey);
	}

	/**
	 * Returns the content of one user message.
	 * @param number the request's number
	 * @return the content
	 */
	public String content(long number) {
		StringBuilder content = new StringBuilder("File ").append(number % this.prefixes).append(". ");
		while (content.length() < this.promptChars) {
			content.append(SENTENCE);
		}
		return content.append("Question ").append(number).append('.').toString();
	}

	/**
	 * Returns the text that an engine must answer.
	 * @param number the request's number
	 * @return the text
	 */
	public TokenText expected(long number) {
		return TokenText.of(this.model, "user: " + content(number) + "\n");
	}

	/**
	 * Returns the path prefix of plain requests.
	 * @return the prefix, empty to call a service directly
	 */
	public String servicePrefix() {
		return this.service.isEmpty() ? "" : "/" + this.service;
	}

}
