package org.vanillatrestle.daemon.internal.gateway;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.daemon.internal.logging.EventKind;

/**
 * The decisions of one request, kept until its end tells whether they are logged.
 * <p>
 * Used on the VM's event loop. A request makes few decisions, so that memory is bounded
 * by the requests in progress.
 */
final class RequestTrail {

	private final List<Step> steps = new ArrayList<>(2);

	/**
	 * Notes a decision.
	 * @param kind the kind of event
	 * @param atMillis the time since the request came
	 * @param fields names and values by turns
	 */
	void add(EventKind kind, long atMillis, Object... fields) {
		this.steps.add(new Step(kind, atMillis, fields));
	}

	/**
	 * Logs all decisions.
	 * @param journal takes the lines
	 * @param request the request's id
	 */
	void write(RequestJournal journal, String request) {
		for (Step step : this.steps) {
			Object[] fields = new Object[step.fields.length + 4];
			fields[0] = "request";
			fields[1] = request;
			fields[2] = "atMillis";
			fields[3] = step.atMillis;
			System.arraycopy(step.fields, 0, fields, 4, step.fields.length);
			journal.log(step.kind, fields);
		}
	}

	private record Step(EventKind kind, long atMillis, Object[] fields) {
	}

}
