package org.vanillatrestle.daemon.protocol;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.internal.declaration.Declaration;

/**
 * Translates between a platform's HTTP interfaces and the types of the gateway.
 * <p>
 * Implementations are stateless and thread safe.
 */
public interface GatewayProtocol {

	/**
	 * Reads the metadata of a caller's request.
	 * @param request the request
	 * @return the metadata; values that are missing or malformed count as not stated
	 */
	CallDetails readCall(CallerRequest request);

	/**
	 * Creates the headers of a request that this VM sends to a target or another VM.
	 * @param received the headers of the received request
	 * @param terms the values that this VM sets
	 * @return new headers, without those that apply to a single connection only
	 */
	HttpHeaders outgoingHeaders(HttpHeaders received, OutgoingRequestOptions terms);

	/**
	 * Reads the status and the headers of a target's answer.
	 * @param head the status and the headers
	 * @return what they say about the answer
	 */
	AnswerMetadata readAnswer(AnswerHead head);

	/**
	 * Tells whether an answer of a target belongs to a request.
	 * @param answer the answer's headers
	 * @param requestId the request's id, {@code null} if it has none
	 * @return whether the answer names this request and no other one, or the request has
	 * no id
	 */
	boolean isAnswerTo(HttpHeaders answer, String requestId);

	/**
	 * Reads a call from an operator, a target or the platform, or a directory look-up.
	 * @param request the call
	 * @return the call, {@link ControlCall.Malformed} if it is malformed
	 */
	ControlCall readControlCall(CallerRequest request);

	/**
	 * Reads a declaration.
	 * @param document the bytes as the operator sent them
	 * @return the declaration
	 * @throws InvalidDocumentException if the document violates a rule; the message names
	 * the rule
	 */
	Declaration readDeclaration(byte[] document) throws InvalidDocumentException;

	/**
	 * Writes the answer to a directory look-up.
	 * @param frontAddresses the addresses to which callers may connect
	 * @param ttlSeconds the time in seconds for which the answer is valid
	 * @return a JSON document
	 */
	byte[] writeDirectory(List<String> frontAddresses, double ttlSeconds);

}
