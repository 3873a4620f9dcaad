package org.vanillatrestle.internal.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.retry.RetrySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link RequestPolicy} through the methods that the daemon calls.
 */
class RequestPolicyTests {

	private static final long SECOND_NANOS = PolicyFixture.SECOND_NANOS;

	private final PolicyFixture fixture = new PolicyFixture();

	private final RequestPolicy policy = this.fixture.policy;

	@Test
	void shouldPlaceAdmittedRequestOnTarget() {
		this.fixture.announce("engine-1", 2, 1, false, 0);

		Admission admission = this.policy.admit(this.fixture.request(), 1);

		assertThat(admission).isInstanceOf(Admission.Admitted.class);
		assertThat(place(Set.of(), 1)).isEqualTo("engine-1");
	}

	@Test
	void shouldQueueWhenTargetsAreFullAndStartWhenAttemptFinishes() {
		this.fixture.announce("engine-1", 1, 1, false, 0);
		Attempt running = start(1);

		Admission admission = this.policy.admit(this.fixture.request(), 2);
		List<DequeuedTicket> readyBeforeFinish = this.policy.pollReady(3);
		this.policy.attemptFinished(running, AttemptOutcome.COMPLETED, 100, 4);
		List<DequeuedTicket> readyAfterFinish = this.policy.pollReady(5);

		assertThat(admission).isInstanceOf(Admission.Queued.class);
		assertThat(readyBeforeFinish).isEmpty();
		assertThat(readyAfterFinish).singleElement().satisfies((ready) -> assertThat(ready.refusal()).isEmpty());
	}

	@Test
	void shouldRefuseOnArrivalWhenDeadlineCannotBeMet() {
		this.fixture.announce("engine-1", 1, 1, false, 0);
		start(1);
		PolicyRequest request = this.fixture.request(PolicyFixture.CUSTOMER).deadlineNanos(SECOND_NANOS).build();

		Admission admission = this.policy.admit(request, 2);

		assertThat(admission).isInstanceOfSatisfying(Admission.Refused.class, (refused) -> {
			assertThat(refused.reason()).isEqualTo(RefusalReason.DEADLINE);
			assertThat(refused.retryAfterMillis()).isPositive();
		});
	}

	@Test
	void shouldRefuseAboveInFlightLimitAndAdmitAfterRelease() {
		PolicyFixture limited = new PolicyFixture(PolicySettings.builder().build(),
				PolicyFixture.service().maxInFlight(1).build());
		limited.announce("engine-1", 8, 1, false, 0);
		Admission.Admitted first = (Admission.Admitted) limited.policy.admit(limited.request(), 1);

		Admission second = limited.policy.admit(limited.request(), 2);
		limited.policy.release(first.ticket(), 300);
		limited.policy.release(first.ticket(), 300);
		Admission third = limited.policy.admit(limited.request(), 3);
		Admission fourth = limited.policy.admit(limited.request(), 4);

		assertThat(second).isInstanceOfSatisfying(Admission.Refused.class,
				(refused) -> assertThat(refused.reason()).isEqualTo(RefusalReason.IN_FLIGHT));
		assertThat(third).isInstanceOf(Admission.Admitted.class);
		assertThat(fourth).isInstanceOf(Admission.Refused.class);
	}

	@Test
	void shouldNeverPlaceOnLeavingTarget() {
		this.fixture.announce("engine-1", 8, 1, false, 0);
		this.fixture.announce("engine-2", 8, 1, false, 0);
		place(Set.of(), 1);

		this.fixture.announce("engine-1", 8, 1, true, 2);

		for (int i = 0; i < 50; i++) {
			assertThat(place(Set.of(), 3)).isEqualTo("engine-2");
		}
	}

	@Test
	void shouldEjectTargetAfterConsecutiveFailures() {
		this.fixture.announce("engine-1", 8, 1, false, 0);
		this.fixture.announce("engine-2", 8, 1, false, 0);
		long nowNanos = 1;
		int failures = 0;
		while (failures < 3) {
			Attempt attempt = start(nowNanos++);
			boolean failing = targetOf(attempt.placement()).equals("engine-1");
			failures += failing ? 1 : 0;
			this.policy.attemptFinished(attempt, failing ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED, 0,
					nowNanos);
			this.policy.release(attempt.ticket(), 0);
		}

		for (int i = 0; i < 50; i++) {
			assertThat(place(Set.of(), nowNanos)).isEqualTo("engine-2");
		}
	}

	@Test
	void shouldKeepHalfOfPoolInServiceWhenAllTargetsFail() {
		this.fixture.announce("engine-1", 8, 1, false, 0);
		this.fixture.announce("engine-2", 8, 1, false, 0);

		for (int i = 0; i < 40; i++) {
			Attempt attempt = start(i);
			this.policy.attemptFinished(attempt, AttemptOutcome.FAILED, 0, i);
			this.policy.release(attempt.ticket(), 0);
		}

		assertThat(this.policy.admit(this.fixture.request(), 50)).isInstanceOf(Admission.Admitted.class);
	}

	@Test
	void shouldCountRequestsThatPeersHaveInFlight() {
		this.fixture.announce("engine-1", 4, 1, false, 0);
		this.fixture.announce("engine-2", 4, 1, false, 0);

		this.policy.updatePeerInFlight(new VmId("vm-2"), Map.of(new TargetId("engine-1"), 4), 1);

		for (int i = 0; i < 4; i++) {
			assertThat(targetOf(start(2).placement())).isEqualTo("engine-2");
		}
		assertThat(this.policy.admit(this.fixture.request(), 3)).isInstanceOf(Admission.Queued.class);
	}

	@Test
	void shouldForwardWhenOwnDataCentreHasNoTargets() {
		this.fixture.updateRegionSummary("bagmati", 10, 0);
		PolicyRequest request = this.fixture
			.request(PolicyFixture.CUSTOMER, PolicyFixture.HOME, new RegionId("bagmati"))
			.build();

		assertThat(this.policy.admit(request, 1)).isInstanceOf(Admission.Admitted.class);
		assertThat(this.policy.choosePlacement(request, Set.of(), true, 1)).isInstanceOf(Placement.Forward.class);
		assertThat(this.policy.choosePlacement(request, Set.of(), false, 1)).isInstanceOf(Placement.None.class);
	}

	@Test
	void shouldRefuseRetriesWhenBudgetIsExhausted() {
		PolicyRequest request = this.fixture.request();
		int retries = 0;

		for (int i = 0; i < 100; i++) {
			retries += this.policy.tryAcquireRetry(request, Verdict.NOT_RUN, 1, 0) ? 1 : 0;
		}

		assertThat(retries).isEqualTo(this.retryBurst());
	}

	@Test
	void shouldKeepRetriesForAsManyAnswersAsHaveBegun() {
		PolicyRequest request = this.fixture.request();
		this.policy.retries().answerBegan(request);
		this.policy.retries().answerBegan(request);
		assertThat(acquireRetries(false)).isEqualTo(retryBurst() - 2);
		assertThat(acquireRetries(true)).isEqualTo(2);
	}

	@Test
	void shouldKeepNoRetriesForBegunAnswersThatHaveEnded() {
		PolicyRequest request = this.fixture.request();
		this.policy.retries().answerBegan(request);
		this.policy.retries().begunAnswerEnded(request);
		assertThat(acquireRetries(false)).isEqualTo(retryBurst());
	}

	@Test
	void shouldKeepAQuarterOfTheRetryBurstForBegunAnswersAtMost() {
		for (int i = 0; i < 100; i++) {
			this.policy.retries().answerBegan(this.fixture.request());
		}
		assertThat(acquireRetries(false)).isEqualTo(retryBurst() * 3 / 4);
		assertThat(acquireRetries(true)).isEqualTo(retryBurst() / 4);
	}

	private int acquireRetries(boolean begun) {
		int acquired = 0;
		while (this.policy.retries().acquireRetry(this.fixture.request(), Verdict.NOT_RUN, 1, begun, 0).isEmpty()) {
			acquired++;
		}
		return acquired;
	}

	@Test
	void shouldAddForwardedRequestToRetryBudgetOfOneVmOnly() {
		PolicyFixture receiver = new PolicyFixture();
		receiver.announce("engine-1", 8, 1, false, 0);
		this.fixture.announce("engine-2", 8, 1, false, 0);
		PolicyRequest request = this.fixture.request();
		Placement forward = new Placement.Forward(new RegionId("bagmati"), new DataCentreId("bagmati-1"));
		Placement local = this.policy.choosePlacement(request, Set.of(), false, 0);
		int retries = 0;
		for (int i = 0; i < 1_000; i++) {
			PolicyRequest forwarded = receiver.request(PolicyFixture.CUSTOMER)
				.forwarded(true)
				.senderAttempts(i % 2)
				.build();
			send(this.policy, request, i, (i % 2 == 0) ? List.of(forward) : List.of(local, forward));
			send(receiver.policy, forwarded, i,
					List.of(receiver.policy.choosePlacement(forwarded, Set.of(), false, i)));
			retries += this.policy.tryAcquireRetry(request, Verdict.NOT_RUN, 1, i) ? 1 : 0;
			retries += receiver.policy.tryAcquireRetry(forwarded, Verdict.NOT_RUN, 1, i) ? 1 : 0;
		}

		assertThat(retries).isBetween(100, 100 + 2 * retryBurst());
	}

	@Test
	void shouldAdmitTheRestOfAForwardedStreamWhereANewRequestIsRefused() {
		PolicyFixture full = new PolicyFixture();
		full.announce("engine-1", 1, 1, false, 0);
		Admission first = full.policy.admit(full.request(), 0);
		assertThat(first).isInstanceOf(Admission.Admitted.class);
		assertThat(full.policy.admit(full.request(), 0)).isInstanceOf(Admission.Queued.class);
		PolicyRequest.Builder late = full.request(PolicyFixture.CUSTOMER)
			.forwarded(true)
			.senderAttempts(1)
			.deadlineNanos(PolicyFixture.SECOND_NANOS / 100);

		assertThat(full.policy.admit(late.build(), 0)).isInstanceOf(Admission.Refused.class);
		assertThat(full.policy.admit(late.begunAtSender(true).build(), 0)).isInstanceOf(Admission.Admitted.class);
		assertThat(full.policy.queuedCount()).isEqualTo(1);
	}

	@Test
	void shouldRetryRequestThatMayHaveRunOnlyIfIdempotent() {
		PolicyRequest atMostOnce = this.fixture.request(PolicyFixture.CUSTOMER).repeat(Repeat.AT_MOST_ONCE).build();

		assertThat(this.policy.tryAcquireRetry(atMostOnce, Verdict.MAY_HAVE_RUN, 1, 0)).isFalse();
		assertThat(this.policy.tryAcquireRetry(atMostOnce, Verdict.NOT_RUN, 1, 0)).isTrue();
		assertThat(this.policy.tryAcquireRetry(this.fixture.request(), Verdict.MAY_HAVE_RUN, 1, 0)).isTrue();
		assertThat(this.policy.tryAcquireRetry(this.fixture.request(), Verdict.RAN, 1, 0)).isFalse();
	}

	@Property(seed = "11", tries = 300)
	void shouldNeverLeaveAllowedRegionsNorReuseTargetNorForwardTwice(@ForAll @IntRange(max = 7) int allowedBits,
			@ForAll @IntRange(max = 6) int targets, @ForAll @IntRange(max = 63) int triedBits,
			@ForAll boolean forwarded, @ForAll boolean mayForward, @ForAll @IntRange(max = 3) int earlierRequests) {
		PolicyFixture propertyFixture = new PolicyFixture();
		for (int i = 0; i < targets; i++) {
			propertyFixture.announce("engine-" + i, 1, 1, false, 0);
		}
		List<String> regions = List.of("koshi", "bagmati", "lumbini");
		propertyFixture.updateRegionSummary("bagmati", 50, 0);
		propertyFixture.updateRegionSummary("lumbini", 90, 0);
		Set<RegionId> allowed = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			if ((allowedBits >> i & 1) == 1) {
				allowed.add(new RegionId(regions.get(i)));
			}
		}
		Set<TargetId> tried = new HashSet<>();
		for (int i = 0; i < 6; i++) {
			if ((triedBits >> i & 1) == 1) {
				tried.add(new TargetId("engine-" + i));
			}
		}
		List<Admission> admissions = new ArrayList<>();
		for (int i = 0; i < earlierRequests; i++) {
			admissions.add(propertyFixture.policy.admit(propertyFixture.request(), 1));
		}
		PolicyRequest request = propertyFixture.request(new CustomerId("other"), allowed.toArray(RegionId[]::new))
			.allowedRegions(allowed)
			.forwarded(forwarded)
			.build();

		Placement placement = propertyFixture.policy.choosePlacement(request, tried, mayForward, 2);

		assertThat(admissions).hasSize(earlierRequests);
		if (placement instanceof Placement.Local local) {
			assertThat(allowed).contains(PolicyFixture.HOME);
			assertThat(tried).doesNotContain(local.target().target());
		}
		if (placement instanceof Placement.Forward forward) {
			assertThat(forwarded).isFalse();
			assertThat(mayForward).isTrue();
			assertThat(allowed).contains(forward.region());
			assertThat(forward.region()).isNotEqualTo(PolicyFixture.HOME);
		}
	}

	private int retryBurst() {
		return RetrySettings.DEFAULTS.burst();
	}

	private String place(Set<TargetId> tried, long nowNanos) {
		return targetOf(this.policy.choosePlacement(this.fixture.request(), tried, true, nowNanos));
	}

	private Attempt start(long nowNanos) {
		Ticket ticket = ((Admission.Admitted) this.policy.admit(this.fixture.request(), nowNanos)).ticket();
		Placement placement = this.policy.choosePlacement(ticket.request(), Set.of(), true, nowNanos);
		return this.policy.attemptStarted(ticket, placement, nowNanos);
	}

	private static void send(RequestPolicy policy, PolicyRequest request, long nowNanos, List<Placement> placements) {
		Ticket ticket = ((Admission.Admitted) policy.admit(request, nowNanos)).ticket();
		for (Placement placement : placements) {
			Attempt attempt = policy.attemptStarted(ticket, placement, nowNanos);
			policy.attemptFinished(attempt, AttemptOutcome.COMPLETED, 0, nowNanos);
		}
		policy.release(ticket, 0);
	}

	private static String targetOf(Placement placement) {
		return ((Placement.Local) placement).target().target().value();
	}

}
