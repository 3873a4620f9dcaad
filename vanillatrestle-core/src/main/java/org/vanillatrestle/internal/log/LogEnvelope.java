package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * A message with its group, sender and receiver. A replica drops messages addressed to
 * another storage of its VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param group the sender's group
 * @param from the sender
 * @param to the receiver
 * @param message the message
 */
public record LogEnvelope(GroupId group, ReplicaId from, ReplicaId to, LogMessage message) {

	public LogEnvelope {
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(from, "from");
		Objects.requireNonNull(to, "to");
		Objects.requireNonNull(message, "message");
	}

}
