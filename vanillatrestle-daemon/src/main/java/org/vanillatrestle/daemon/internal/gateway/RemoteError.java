package org.vanillatrestle.daemon.internal.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.Names;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;

/**
 * An error that a VM returns for a request that another VM has forwarded to it.
 * <p>
 * Immutable and thread safe.
 *
 * @param code the code of the error
 * @param verdict whether the request may have run
 * @param reachedTargets the targets that the request may have reached, empty if the other
 * VM does not say
 * @param hasMoreTargets whether another target of the VM's region could still take the
 * request, as far as known
 */
record RemoteError(String code, Verdict verdict, Optional<Set<TargetId>> reachedTargets, boolean hasMoreTargets) {

	private static final String SEPARATOR = ",";

	/**
	 * Writes what the forwarding VM has to know.
	 * @param headers the headers of the answer
	 * @param error the error
	 * @param reached the targets that the request may have reached here
	 * @param hasMoreTargets whether another target of this region could still take it
	 */
	static void write(HttpHeaders headers, GatewayError error, Collection<TargetId> reached, boolean hasMoreTargets) {
		headers.set(HeaderNames.ERROR, error.name());
		headers.set(HeaderNames.MORE_TARGETS, Boolean.toString(hasMoreTargets));
		headers.set(HeaderNames.REACHED_TARGETS, join(reached));
	}

	/**
	 * Reads the error from an answer of another VM.
	 * @param headers the headers of the answer
	 * @return the error, empty if the answer is that of a target
	 */
	static Optional<RemoteError> read(HttpHeaders headers) {
		String verdict = headers.get(HeaderNames.VERDICT);
		if (verdict == null) {
			return Optional.empty();
		}
		String code = headers.get(HeaderNames.ERROR, "unknown");
		return Optional
			.of(new RemoteError(code, verdict.equals(Verdict.NOT_RUN.name()) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
					Optional.ofNullable(headers.get(HeaderNames.REACHED_TARGETS)).map(RemoteError::split),
					!"false".equals(headers.get(HeaderNames.MORE_TARGETS))));
	}

	static String join(Collection<TargetId> targets) {
		return targets.stream().map(TargetId::value).collect(Collectors.joining(SEPARATOR));
	}

	static Set<TargetId> split(String header) {
		Set<TargetId> targets = new HashSet<>();
		if (header == null) {
			return targets;
		}
		for (String id : header.split(SEPARATOR)) {
			if (Names.isValid(id)) {
				targets.add(new TargetId(id));
			}
		}
		return targets;
	}

	@Override
	public String toString() {
		return this.code + ", targets reached: " + this.reachedTargets.map(RemoteError::join).orElse("unknown");
	}

	/**
	 * Returns whether the request may have arrived at a target. A VM that does not say so
	 * is taken to have sent it.
	 * @return whether it may have arrived
	 */
	boolean mayHaveReachedTarget() {
		return this.verdict != Verdict.NOT_RUN || this.reachedTargets.map((targets) -> !targets.isEmpty()).orElse(true);
	}

}
