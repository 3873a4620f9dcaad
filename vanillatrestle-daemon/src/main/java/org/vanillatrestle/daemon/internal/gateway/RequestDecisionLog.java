package org.vanillatrestle.daemon.internal.gateway;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.internal.gateway.Choice;
import org.vanillatrestle.internal.gateway.GatewayTarget;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;

/**
 * The decisions of one request, kept until its end tells whether they are logged.
 * <p>
 * Used on the VM's event loop. A request makes few decisions, so that memory is bounded
 * by the requests in progress.
 */
final class RequestDecisionLog {

	private final List<Decision> steps = new ArrayList<>(2);

	/**
	 * Notes a decision.
	 * @param kind the kind of event
	 * @param atMillis the time since the request came
	 * @param fields names and values by turns
	 */
	void add(EventKind kind, long atMillis, Object... fields) {
		this.steps.add(new Decision(kind, atMillis, fields));
	}

	/**
	 * Notes that a target was chosen.
	 * @param choice the choice
	 * @param atMillis the time since the request came
	 * @param leftMillis the time that it has left
	 */
	void addTargetChoice(Choice choice, long atMillis, long leftMillis) {
		add(EventKind.PLACED, atMillis, "target", choice.target().id(), "waitMillis", choice.waitMillis(),
				"unreadTokens", choice.unreadTokens(), "readingShare", choice.readingShare(), "strain", choice.strain(),
				"inFlight", choice.load().requests(), "queuedTokens", choice.load().unreadTokens(), "loadAgeMillis",
				choice.loadAgeMillis(), "copyFrom", choice.copyFrom().map(GatewayTarget::id).orElse(null), "runnerUp",
				choice.runnerUp(), "leftMillis", leftMillis);
	}

	/**
	 * Notes that a VM of another region was chosen.
	 * @param choice the choice
	 * @param expectedMillis the estimated time until the answer begins there
	 * @param here what was expected in this region
	 * @param atMillis the time since the request came
	 */
	void addRemoteChoice(RemoteEntries.RemoteChoice choice, long expectedMillis, Placement.Outlook here,
			long atMillis) {
		add(EventKind.SENT_AWAY, atMillis, "vm", choice.vm(), "region", choice.region(), "waitMillis", expectedMillis,
				"localWaitMillis", here.toldMillis(), "localStrain", here.strain(), "strain", choice.strain());
	}

	/**
	 * Notes what a refusal was decided from.
	 * @param here what was expected in this region
	 * @param away what was expected in the best other region
	 * @param retryAfterMillis when the caller was told to come back
	 * @param atMillis the time since the request came
	 */
	void addRefusal(Placement.Outlook here, Placement.Outlook away, long retryAfterMillis, long atMillis) {
		add(EventKind.DECIDED, atMillis, "localWaitMillis", here.toldMillis(), "localStrain", here.strain(),
				"remoteWaitMillis", away.toldMillis(), "remoteStrain", away.strain(), "retryAfterMillis",
				retryAfterMillis);
	}

	/**
	 * Logs all decisions.
	 * @param journal takes the lines
	 * @param request the request's id
	 */
	void writeTo(RequestTelemetry journal, String request) {
		for (Decision step : this.steps) {
			Object[] fields = new Object[step.fields.length + 4];
			fields[0] = "request";
			fields[1] = request;
			fields[2] = "atMillis";
			fields[3] = step.atMillis;
			System.arraycopy(step.fields, 0, fields, 4, step.fields.length);
			journal.log(step.kind, fields);
		}
	}

	private record Decision(EventKind kind, long atMillis, Object[] fields) {
	}

}
