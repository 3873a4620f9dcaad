package org.vanillatrestle.daemon.internal.gateway;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.protocol.AnswerMetadata;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;

/**
 * What the head of an attempt's response says.
 * <p>
 * Invariant: the error of a VM is read only from the response of a VM. The headers in
 * which VMs state it are removed from the response of a target, which could otherwise
 * speak for a VM. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param hasLength whether the response states its length
 * @param metadata what the status and the headers say
 * @param remoteError the error of the VM that the request was forwarded to, empty if the
 * response is that of a target
 */
record AttemptResponse(int status, boolean hasLength, AnswerMetadata metadata, Optional<RemoteError> remoteError) {

	private static final List<AsciiString> VM_HEADERS = List.of(HeaderNames.VERDICT, HeaderNames.ERROR,
			HeaderNames.REACHED_TARGETS, HeaderNames.MORE_TARGETS, HeaderNames.ANSWERING_TARGET);

	/**
	 * Reads the head of a target's response and removes the headers reserved for VMs.
	 * @param head the head
	 * @param protocol the platform's protocol
	 * @return what the head says
	 */
	static AttemptResponse ofTarget(AnswerHead head, GatewayProtocol protocol) {
		HttpHeaders headers = head.headers();
		VM_HEADERS.forEach(headers::remove);
		return new AttemptResponse(head.status(), head.hasLength(), protocol.readAnswer(head), Optional.empty());
	}

	/**
	 * Reads the head of the response of a VM that the request was forwarded to.
	 * @param head the head
	 * @param protocol the platform's protocol
	 * @return what the head says
	 */
	static AttemptResponse ofVm(AnswerHead head, GatewayProtocol protocol) {
		return new AttemptResponse(head.status(), head.hasLength(), protocol.readAnswer(head),
				RemoteError.read(head.headers()));
	}

	boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/**
	 * Checks whether the target rejected the request without running it.
	 * @return whether the request may be sent elsewhere, whatever its route allows
	 */
	boolean isRejection() {
		return this.remoteError.isEmpty() && this.metadata.notRun();
	}

	/**
	 * Checks whether the response may be passed to the caller even if no other attempt
	 * gets a better one.
	 * @return whether it is the response of a target that ran the request, and its status
	 * does not tell the caller otherwise
	 */
	boolean isDeliverable() {
		return this.remoteError.isEmpty() && !this.metadata.notRun() && !this.metadata.isUnprovenPromise();
	}

	/**
	 * Describes an error status for the log.
	 * @return the status and, if it is not passed on, the reason
	 */
	String describe() {
		return this.metadata.isUnprovenPromise()
				? "status " + this.status
						+ ", which promises that the request has not run, but the target does not state that"
				: "status " + this.status;
	}

}
