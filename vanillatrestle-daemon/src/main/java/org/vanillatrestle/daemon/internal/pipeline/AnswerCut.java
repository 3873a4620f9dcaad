package org.vanillatrestle.daemon.internal.pipeline;

/**
 * An answer that had begun and was broken off.
 * <p>
 * Immutable and thread safe.
 *
 * @param cause why it was not continued
 * @param detail what the last attempt failed by, for logs
 * @param relayedEvents the number of stream events that were relayed before
 * @param remainingMillis the time until the request's deadline
 */
public record AnswerCut(CutCause cause, String detail, int relayedEvents, long remainingMillis) {

}
