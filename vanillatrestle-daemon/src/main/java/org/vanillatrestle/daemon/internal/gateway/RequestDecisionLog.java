package org.vanillatrestle.daemon.internal.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.internal.fleet.RequestLimit;
import org.vanillatrestle.internal.gateway.GatewayTarget;
import org.vanillatrestle.internal.gateway.InFlightRequest;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.TargetChoice;
import org.vanillatrestle.internal.quarantine.Admission;
import org.vanillatrestle.internal.quarantine.SuspectPart;

/**
 * Buffers the decisions made for one request until its outcome determines whether they
 * are logged.
 * <p>
 * Used only on the VM's event loop. Few decisions are made for each request, so the
 * number of requests in progress bounds the memory used.
 */
final class RequestDecisionLog {

	private final List<Decision> decisions = new ArrayList<>(2);

	/**
	 * Adds a decision.
	 * @param kind the kind of event
	 * @param atMillis the time since the request arrived
	 * @param fields alternating field names and values
	 */
	void add(EventKind kind, long atMillis, Object... fields) {
		this.decisions.add(new Decision(kind, atMillis, fields));
	}

	/**
	 * Adds a decision about an attempt, with the condition of its target.
	 * @param kind the kind of event
	 * @param atMillis the time since the request arrived
	 * @param targetRequest the attempt's request, empty if it was sent to another VM
	 * @param fields alternating field names and values
	 */
	void addWithTarget(EventKind kind, long atMillis, Optional<InFlightRequest> targetRequest, Object... fields) {
		if (targetRequest.isEmpty()) {
			add(kind, atMillis, fields);
			return;
		}
		GatewayTarget target = targetRequest.get().target();
		boolean restarted = target.report().startedMillis() != targetRequest.get().targetStartedMillis();
		int end = fields.length;
		Object[] all = Arrays.copyOf(fields, end + 4);
		all[end] = "condition";
		all[end + 1] = restarted ? "restarted" : target.report().condition().name().toLowerCase(Locale.ROOT);
		all[end + 2] = "conditionMillis";
		all[end + 3] = target.conditionMillis(System.nanoTime());
		add(kind, atMillis, all);
	}

	/**
	 * Adds the choice of a target.
	 * @param choice the chosen target and the estimates on which the choice was based
	 * @param atMillis the time since the request arrived
	 * @param remainingMillis the time until the request's deadline
	 */
	void addTargetChoice(TargetChoice choice, long atMillis, long remainingMillis) {
		add(EventKind.PLACED, atMillis, "target", choice.target().id(), "waitMillis", choice.waitMillis(),
				"unreadTokens", choice.unreadTokens(), "readingShare", choice.readingShare(), "strain",
				choice.harmfulReadingShare(), "inFlight", choice.load().requests(), "queuedTokens",
				choice.load().unreadTokens(), "loadAgeMillis", choice.loadAgeMillis(), "copyFrom",
				choice.copyFrom().map(GatewayTarget::id).orElse(null), "runnerUp", choice.runnerUp(), "leftMillis",
				remainingMillis, "limitPerSecond", limit(choice.target()));
	}

	private static Double limit(GatewayTarget target) {
		RequestLimit limit = target.report().limit();
		return limit.isFinite() ? limit.requestsPerSecond() : null;
	}

	/**
	 * Adds the choice of a VM in another region.
	 * @param choice the chosen VM
	 * @param expectedMillis the estimated time until the response starts there
	 * @param localOutlook the estimate for this region
	 * @param atMillis the time since the request arrived
	 */
	void addRemoteChoice(RemoteEntries.RemoteChoice choice, long expectedMillis, Placement.Estimate localOutlook,
			long atMillis) {
		add(EventKind.SENT_AWAY, atMillis, "vm", choice.vm(), "region", choice.region(), "waitMillis", expectedMillis,
				"localWaitMillis", localOutlook.loggedWaitMillis(), "localStrain", localOutlook.harmfulReadingShare(),
				"strain", choice.harmfulReadingShare());
	}

	/**
	 * Adds the estimates that led to a refusal.
	 * @param localOutlook the estimate for this region
	 * @param remoteOutlook the estimate for the best other region
	 * @param retryAfterMillis the retry delay sent to the caller
	 * @param atMillis the time since the request arrived
	 */
	void addRefusal(Placement.Estimate localOutlook, Placement.Estimate remoteOutlook, long retryAfterMillis,
			long atMillis) {
		add(EventKind.DECIDED, atMillis, "localWaitMillis", localOutlook.loggedWaitMillis(), "localStrain",
				localOutlook.harmfulReadingShare(), "remoteWaitMillis", remoteOutlook.loggedWaitMillis(),
				"remoteStrain", remoteOutlook.harmfulReadingShare(), "retryAfterMillis", retryAfterMillis);
	}

	/**
	 * Adds that the request holds suspended prompt parts.
	 * @param admission the decision about the parts
	 * @param atMillis the time since the request arrived
	 */
	void addSuspension(Admission admission, long atMillis) {
		addParts(EventKind.PART_HELD_BACK, admission, atMillis);
	}

	/**
	 * Adds that the request probes suspended prompt parts, if it does.
	 * @param admission the decision about the parts
	 * @param atMillis the time since the request arrived
	 */
	void addProbe(Admission admission, long atMillis) {
		if (admission.action() == Admission.Action.PROBE) {
			addParts(EventKind.PART_PROBED, admission, atMillis);
		}
	}

	private void addParts(EventKind kind, Admission admission, long atMillis) {
		add(kind, atMillis, "parts", admission.suspended().stream().map((part) -> part.key().part()).toList(),
				"crashes", admission.suspended().stream().mapToInt(SuspectPart::crashes).max().orElse(0),
				"retryAfterMillis", admission.retryAfterMillis());
	}

	/**
	 * Logs all decisions.
	 * @param telemetry the log to write to
	 * @param requestId the request's id
	 */
	void writeTo(RequestTelemetry telemetry, String requestId) {
		for (Decision decision : this.decisions) {
			Object[] fields = new Object[decision.fields.length + 4];
			fields[0] = "request";
			fields[1] = requestId;
			fields[2] = "atMillis";
			fields[3] = decision.atMillis;
			System.arraycopy(decision.fields, 0, fields, 4, decision.fields.length);
			telemetry.log(decision.kind, fields);
		}
	}

	private record Decision(EventKind kind, long atMillis, Object[] fields) {
	}

}
