package org.vanillatrestle.bench.matrix;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * What goes wrong, with the reason why it can't strike at a step.
 */
enum MatrixFault {

	TARGET_REFUSES(EnumSet.of(Step.DISPATCH), "a target refuses before it runs anything"),

	TARGET_IS_GONE(EnumSet.of(Step.DISPATCH), "a target that is gone takes no connection"),

	TARGET_STALLS(EnumSet.of(Step.ANSWER_FRAME, Step.ANSWER_END), "a target is only met from dispatch to answer"),

	TARGET_DIES(EnumSet.of(Step.ANSWER_FRAME, Step.ANSWER_END), "a target is only met from dispatch to answer"),

	TARGET_ANSWERS_GARBAGE(EnumSet.of(Step.ANSWER_FRAME, Step.ANSWER_END),
			"a target is only met from dispatch to answer"),

	TARGET_ANSWERS_SHORT(EnumSet.of(Step.ANSWER_FRAME, Step.ANSWER_END),
			"a target is only met from dispatch to answer"),

	CALLER_IS_WRONG(EnumSet.of(Step.AUTHENTICATE, Step.CONTRACT, Step.CLASSIFY, Step.CLAIM, Step.SELECT),
			"a caller's error ends at the first filter that sees it; a forbidden region needs several, see ThreeRegionTests"),

	CALLER_VANISHES(EnumSet.of(Step.DISPATCH, Step.ANSWER_FRAME, Step.RECORD),
			"earlier steps run at once, without a wait in which the caller could vanish"),

	CALLER_RESENDS(EnumSet.of(Step.CLAIM, Step.DISPATCH, Step.RECORD),
			"only the claim tells a resend from a first request"),

	MESSAGE_TWICE(EnumSet.of(Step.ANNOUNCEMENT), "within one VM only announcements are messages"),

	MESSAGE_OUT_OF_ORDER(EnumSet.of(Step.ANNOUNCEMENT), "within one VM only announcements are messages"),

	MESSAGE_LOST(EnumSet.of(Step.ANNOUNCEMENT), "within one VM only announcements are messages"),

	VM_STOPS(EnumSet.of(Step.SHUTDOWN), "a graceful stop is the step of its own");

	private final Set<Step> steps;

	private final String reason;

	MatrixFault(Set<Step> steps, String reason) {
		this.steps = steps;
		this.reason = reason;
	}

	/**
	 * Returns why this fault can't strike at a step.
	 * @param step the step
	 * @return the reason, empty if it can
	 */
	Optional<String> reasonForNoCase(Step step) {
		return this.steps.contains(step) ? Optional.empty() : Optional.of(this.reason);
	}

}
