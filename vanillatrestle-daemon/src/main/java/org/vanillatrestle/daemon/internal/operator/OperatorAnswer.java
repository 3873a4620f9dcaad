package org.vanillatrestle.daemon.internal.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The response to an operator's request.
 * <p>
 * Must not be modified after it has been passed on.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
public record OperatorAnswer(int status, ObjectNode body) {

	static OperatorAnswer error(int status, String code, String message) {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.put("code", code);
		body.put("message", message);
		return new OperatorAnswer(status, body);
	}

	OperatorAnswer with(String field, String value) {
		this.body.put(field, value);
		return this;
	}

	OperatorAnswer with(String field, long value) {
		this.body.put(field, value);
		return this;
	}

}
