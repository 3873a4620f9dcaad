package org.vanillatrestle.daemon.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.gateway.InFlightRequest;
import org.vanillatrestle.internal.gateway.PromptPart;
import org.vanillatrestle.internal.quarantine.PartQuarantine;
import org.vanillatrestle.internal.quarantine.PromptStart;

/**
 * Finds out whether requests broke off because their target's process has ended, and
 * tells the quarantine.
 * <p>
 * A process that has ended refuses connections; a target that is alive, or that can't be
 * reached, does not. Invariant: there is at most one check of an incarnation at a time,
 * and it ends within {@link #MAX_CHECK_MILLIS}. Used only on the VM's event loop.
 */
final class TargetCrashMonitor {

	/**
	 * Time after which a check counts as unsuccessful. A refusal takes one round trip
	 * within the region, and longer if this VM is busy.
	 */
	private static final long MAX_CHECK_MILLIS = 250;

	private final EventLoop loop;

	private final TargetClient client;

	private final PartQuarantine quarantine;

	private final RequestTelemetry telemetry;

	private final Map<Incarnation, Check> checks = new HashMap<>();

	TargetCrashMonitor(EventLoop loop, TargetClient client, PartQuarantine quarantine, RequestTelemetry telemetry) {
		this.loop = loop;
		this.client = client;
		this.quarantine = quarantine;
		this.telemetry = telemetry;
	}

	/**
	 * Checks the target of a request whose answer had begun when it broke off.
	 * @param request the request
	 */
	void answerBrokeOff(InFlightRequest request) {
		check(request).brokenOff++;
	}

	/**
	 * Checks the target of a request that broke off before its answer began.
	 * @param request the request
	 * @param id the request's id
	 * @param promptStart tells what the prompt holds
	 * @param afterCheck called when the outcome is known. Until then another attempt
	 * would not count as made after the crash
	 */
	void requestBrokeOff(InFlightRequest request, String id, PromptStart promptStart, Runnable afterCheck) {
		check(request).add(request, id, promptStart, afterCheck);
	}

	private Check check(InFlightRequest request) {
		Incarnation incarnation = new Incarnation(request.target().id(), request.targetStartedMillis());
		Check check = this.checks.get(incarnation);
		if (check == null) {
			check = new Check(request);
			this.checks.put(incarnation, check);
			start(incarnation, check);
		}
		return check;
	}

	private void start(Incarnation incarnation, Check check) {
		this.client.checkListening(check.first.target().report().address(),
				(listening) -> end(incarnation, check, !listening));
		this.loop.schedule(() -> end(incarnation, check, false), MAX_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void end(Incarnation incarnation, Check check, boolean crashed) {
		if (!this.checks.remove(incarnation, check)) {
			return;
		}
		if (crashed) {
			if (check.isUnexpected()) {
				this.quarantine.engineCrashed(incarnation.crashId(), check.promptStarts, System.nanoTime());
			}
			this.telemetry.count("target.crashes", check.first.service().value());
		}
		this.telemetry.log(crashed ? EventKind.TARGET_CRASHED : EventKind.REQUESTS_BROKEN_OFF, "target",
				incarnation.target, "born", incarnation.startedMillis, "brokenOff", check.brokenOff, "notStarted",
				check.notStarted);
		check.promptStarts.forEach(PromptStart::end);
		check.afterCheck.forEach(Runnable::run);
	}

	private record Incarnation(TargetId target, long startedMillis) {

		// an incarnation crashes once
		long crashId() {
			String name = this.target.value() + '@' + this.startedMillis;
			return UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
		}

	}

	/**
	 * The check of one incarnation and the requests that broke off there.
	 */
	private static final class Check {

		/**
		 * Number of requests that a log line names.
		 */
		private static final int MAX_LOGGED_REQUESTS = 8;

		private final InFlightRequest first;

		private final boolean wasReady;

		private final List<String> notStarted = new ArrayList<>();

		private final List<PromptStart> promptStarts = new ArrayList<>();

		private final List<Runnable> afterCheck = new ArrayList<>();

		private int brokenOff;

		Check(InFlightRequest first) {
			this.first = first;
			this.wasReady = isReady();
		}

		// a target that leaves as announced ends without being crashed by a request
		boolean isUnexpected() {
			return this.wasReady && isReady();
		}

		private boolean isReady() {
			TargetReport report = this.first.target().report();
			return report.startedMillis() == this.first.targetStartedMillis()
					&& report.condition() == TargetCondition.READY;
		}

		void add(InFlightRequest request, String id, PromptStart promptStart, Runnable callback) {
			this.brokenOff++;
			this.promptStarts.add(promptStart);
			this.afterCheck.add(callback);
			if (this.notStarted.size() < MAX_LOGGED_REQUESTS) {
				this.notStarted
					.add(id + ' ' + String.join(",", request.sharedParts().stream().map(PromptPart::id).toList()));
			}
		}

	}

}
