package org.vanillatrestle.daemon.internal.pipeline;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;

/**
 * Tells whether bytes from a model engine are one whole JSON document.
 * <p>
 * Stateless and thread safe.
 */
final class JsonCheck {

	private static final JsonFactory FACTORY = new JsonFactory();

	private JsonCheck() {
	}

	static boolean isWhole(byte[] document) {
		try (JsonParser parser = FACTORY.createParser(document)) {
			return parser.nextToken() != null && skipsToEnd(parser);
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static boolean skipsToEnd(JsonParser parser) throws IOException {
		parser.skipChildren();
		return parser.nextToken() == null;
	}

}
