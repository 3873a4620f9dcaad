package org.vanillatrestle.daemon.internal.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;

/**
 * Checks whether bytes from a model engine are exactly one complete JSON document.
 * <p>
 * Stateless and thread safe.
 */
final class JsonCheck {

	private static final JsonFactory FACTORY = new JsonFactory();

	private JsonCheck() {
	}

	static boolean isCompleteDocument(byte[] document) {
		try (JsonParser parser = FACTORY.createParser(document)) {
			return parser.nextToken() != null && hasNoTrailingTokens(parser);
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static boolean hasNoTrailingTokens(JsonParser parser) throws IOException {
		parser.skipChildren();
		return parser.nextToken() == null;
	}

}
