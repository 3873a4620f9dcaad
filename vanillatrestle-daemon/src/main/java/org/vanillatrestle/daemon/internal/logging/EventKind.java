package org.vanillatrestle.daemon.internal.logging;

import java.util.Locale;

/**
 * The kinds of events in the structured log.
 */
public enum EventKind {

	/** A log line of another logger, which is not an event of the structured log. */
	MESSAGE,
	/** The process has started. */
	STARTED,
	/** The process has begun to shut down. */
	STOPPING,
	/** The servers of a VM that shuts down have ended. */
	DRAINED,
	/** The process has shut down. */
	STOPPED,
	/** The settings were reloaded. */
	RELOADED,
	/** A connection to another VM was established. */
	PEER_CONNECTED,
	/** The connection to another VM was lost. */
	PEER_LOST,
	/** A replica became leader or follower, or stopped. */
	REPLICA_ROLE,
	/** The storage of a replica failed. */
	STORAGE_FAILED,
	/** The storage of a replica works again. */
	STORAGE_REOPENED,
	/** A declared state took effect on this VM. */
	DECLARED,
	/** This VM has lacked a declared state for some time that a control VM has. */
	DECLARED_BEHIND,
	/**
	 * A declared state was sent to an entry VM that no nearer control VM has kept up to
	 * date.
	 */
	DECLARED_SENT,
	/** An operator's request was answered. */
	OPERATOR_CALL,
	/** A target's report changed the state that this VM has recorded for it. */
	TARGET_CHANGED,
	/** A target's report could not be read or acknowledged. */
	REPORT_REFUSED,
	/** A target was ejected and receives no requests for some time. */
	TARGET_EJECTED,
	/** A target asked this VM to send it no requests for some time. */
	TARGET_PAUSED,
	/** A target stated a limit on its requests, changed it or lifted it. */
	TARGET_LIMITED,
	/** A target sent a response that does not belong to the request in progress. */
	STRAY_RESPONSE,
	/** Requests broke off because a target's process has ended. */
	TARGET_CRASHED,
	/** Requests broke off at a target that has not ended or can't be reached. */
	REQUESTS_BROKEN_OFF,
	/**
	 * Engines crashed under requests with a prompt part, not often enough to suspend it.
	 */
	PART_SUSPECTED,
	/** A prompt part is suspended, because engines crashed under requests with it. */
	PART_SUSPENDED,
	/** A suspended prompt part was answered, so it may be sent again. */
	PART_CLEARED,
	/** A request was refused because of the suspended parts of its prompt. */
	PART_HELD_BACK,
	/** A request is sent to find out whether its suspended parts still crash engines. */
	PART_PROBED,
	/** A request was sent to a target. */
	PLACED,
	/** An attempt ended without a complete response. */
	ATTEMPT_FAILED,

	/** An attempt has made no progress for some time. */
	ATTEMPT_STALLED,

	/** Another attempt was started beside one that makes no progress. */
	REPLACEMENT_STARTED,

	/** A replacement began to answer, so that the attempt before it was given up. */
	REPLACEMENT_TOOK_OVER,

	/** A replacement was cancelled because the attempt before it makes progress again. */
	REPLACEMENT_WITHDRAWN,

	/** A replacement failed or was refused, and the attempt before it is kept. */
	REPLACEMENT_FAILED,

	/** An answer that had begun was broken off. */
	ANSWER_CUT,
	/** A request is retried on another target. */
	RETRIED,
	/** A request is not retried after a failed attempt. */
	RETRY_DENIED,
	/**
	 * Several VMs of another region can't be reached, so no requests are sent to that
	 * region for some time.
	 */
	REGION_UNREACHABLE,
	/**
	 * The expected outcome in this region and in the other regions at the time when a
	 * request was refused.
	 */
	DECIDED,
	/** A request is forwarded to another region. */
	SENT_AWAY,
	/** A request was refused. */
	REFUSED,
	/** A request failed and may already have been executed. */
	FAILED,
	/** The caller disconnected before it received the complete response. */
	CALLER_GONE,
	/** A request was answered. */
	ANSWERED;

	private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * Returns the name of this kind in log lines.
	 * @return the name, in lower case with hyphens
	 */
	public String label() {
		return this.label;
	}

}
