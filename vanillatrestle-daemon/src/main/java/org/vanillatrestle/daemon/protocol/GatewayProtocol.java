package org.vanillatrestle.daemon.protocol;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.internal.declaration.Declaration;

/**
 * A platform's HTTP interfaces.
 * <p>
 * Implementations only translate: they are stateless and thread safe.
 */
public interface GatewayProtocol {

	/**
	 * Reads what a caller's request says of itself.
	 * @param request the request
	 * @return the details; what is missing or can't be read is left open
	 */
	CallDetails readCall(CallerRequest request);

	/**
	 * Makes the headers with which a request is sent on.
	 * @param received the headers as received
	 * @param terms what this VM sets
	 * @return new headers without those that speak of one connection only
	 */
	HttpHeaders outgoing(HttpHeaders received, SendTerms terms);

	/**
	 * Reads what a target's answer says besides its body.
	 * @param head status and headers
	 * @return the facts
	 */
	AnswerFacts readAnswer(AnswerHead head);

	/**
	 * Tells whether an answer is one to a request.
	 * @param answer the answer's headers
	 * @param requestId the request's id, {@code null} if it has none
	 * @return false if the answer names another request
	 */
	boolean isAnswerTo(HttpHeaders answer, String requestId);

	/**
	 * Reads a call of an operator, a target or the platform.
	 * @param request the call
	 * @return the call; {@link ControlCall.Unreadable} if it can't be read
	 */
	ControlCall readControlCall(CallerRequest request);

	/**
	 * Reads a declaration.
	 * @param document the bytes as the operator sent them
	 * @return the declaration
	 * @throws InvalidDocumentException if the document breaks a rule; the message names
	 * it
	 */
	Declaration readDeclaration(byte[] document) throws InvalidDocumentException;

	/**
	 * Writes the directory's answer.
	 * @param frontAddresses where callers may connect
	 * @param ttlSeconds for how long the answer holds
	 * @return a JSON document
	 */
	byte[] writeDirectory(List<String> frontAddresses, double ttlSeconds);

}
