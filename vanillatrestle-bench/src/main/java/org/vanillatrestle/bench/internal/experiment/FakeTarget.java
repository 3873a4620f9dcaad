package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;

/**
 * A fake target: a model engine with continuous batching, or a plain service.
 * <p>
 * An engine works in steps; each step reads a part of the prompts and generates a token
 * for each request that is read, and lasts longer with each request in the batch. Not
 * thread safe.
 */
final class FakeTarget {

	static final ModelName MODEL = new ModelName("model-1");

	static final ServiceName MODEL_SERVICE = new ServiceName("drafts");

	static final ServiceName PLAIN_SERVICE = new ServiceName("records");

	private static final double STEP_NANOS = 12e6;

	private static final double STEP_NANOS_PER_REQUEST = 0.6e6;

	private static final double STEP_NANOS_PER_PROMPT_TOKEN = 0.05e6;

	private static final double PLAIN_CALL_NANOS = 20e6;

	private static final int PROMPT_TOKENS_PER_STEP = 192;

	private static final int MAX_QUEUED = 500;

	private final EventLoop loop;

	private final String region;

	private final Deployment.TargetPlan plan;

	private final TargetId id;

	private final CustomerId customer;

	private final List<Job> waiting = new ArrayList<>();

	private final List<Job> running = new ArrayList<>();

	private final Map<Long, Boolean> cache;

	private double slowdown = 1;

	private boolean stalled;

	private boolean refusing;

	private boolean alive = true;

	private boolean stepping;

	private long incarnation = 1;

	private long sequence;

	FakeTarget(EventLoop loop, String customer, String region, Deployment.TargetPlan plan, int index) {
		this.loop = loop;
		this.customer = new CustomerId(customer);
		this.region = region;
		this.plan = plan;
		this.id = new TargetId(region + "-" + plan.name() + "-" + index);
		this.cache = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > FakeTarget.this.plan.cachedPrefixes();
			}

		};
	}

	TargetId id() {
		return this.id;
	}

	String region() {
		return this.region;
	}

	boolean alive() {
		return this.alive;
	}

	long priceMicros(SimulatedRequest request, int tokens) {
		return this.plan.plain() ? this.plan.priceMicros()
				: this.plan.priceMicros() * (request.promptTokens() + tokens) / 1_000;
	}

	Announcement announcement() {
		int maxRunning = this.plan.maxRunning();
		double fullStepNanos = (STEP_NANOS + STEP_NANOS_PER_REQUEST * maxRunning) / this.plan.speed();
		long tokensPerSecond = this.plan.plain() ? 0 : (long) (maxRunning * 1e9 / fullStepNanos);
		TargetCapacity capacity = new TargetCapacity(maxRunning, tokensPerSecond,
				this.plan.plain() ? 0 : this.plan.priceMicros(), this.plan.plain() ? this.plan.priceMicros() : 0);
		TargetLoad load = new TargetLoad(this.running.size(), this.waiting.size(),
				(int) (100L * this.cache.size() / Math.max(1, this.plan.cachedPrefixes())));
		return new Announcement(this.id, new DataCentreId(this.region + "-1"), this.incarnation, ++this.sequence,
				this.plan.plain() ? ServiceKind.PLAIN : ServiceKind.MODEL, this.plan.plain() ? this.customer : null,
				this.plan.plain() ? PLAIN_SERVICE : MODEL_SERVICE, this.plan.plain() ? Set.of() : Set.of(MODEL),
				new TargetAddress("127.0.0.1", 1), capacity, load, false, false);
	}

	void submit(Job job) {
		if (!this.alive || this.refusing || this.waiting.size() >= MAX_QUEUED) {
			job.end();
			job.listener().failed(Verdict.NOT_RUN, this.alive);
			return;
		}
		this.waiting.add(job);
		wake();
	}

	void cancel(Job job) {
		job.end();
		this.waiting.remove(job);
		this.running.remove(job);
		wake();
	}

	void slowdown(double factor) {
		this.slowdown = factor;
	}

	void stalled(boolean isStalled) {
		this.stalled = isStalled;
		wake();
	}

	void refusing(boolean isRefusing) {
		this.refusing = isRefusing;
	}

	void clearCache() {
		this.cache.clear();
	}

	void crash() {
		this.alive = false;
		List<Job> lost = new ArrayList<>(this.running);
		lost.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		this.cache.clear();
		for (Job job : lost) {
			if (!job.ended()) {
				job.end();
				job.listener().failed(Verdict.MAY_HAVE_RUN, false);
			}
		}
	}

	void start() {
		this.alive = true;
		this.incarnation++;
	}

	private void wake() {
		if (this.plan.plain()) {
			startCalls();
			return;
		}
		if (!this.stepping && !this.stalled && this.alive) {
			step();
		}
	}

	private void startCalls() {
		while (this.alive && !this.stalled && this.running.size() < this.plan.maxRunning() && !this.waiting.isEmpty()) {
			Job job = this.waiting.remove(0);
			this.running.add(job);
			double work = 0.4 + 1.2 * (job.request().promptTokens() % 100) / 100;
			long nanos = (long) (PLAIN_CALL_NANOS * work * this.slowdown / this.plan.speed());
			this.loop.after(nanos, () -> endCall(job));
		}
	}

	private void endCall(Job job) {
		this.running.remove(job);
		if (!job.ended()) {
			job.end();
			job.listener().first(false);
			job.listener().done(0);
		}
		startCalls();
	}

	private void step() {
		while (this.running.size() < this.plan.maxRunning() && !this.waiting.isEmpty()) {
			begin(this.waiting.remove(0));
		}
		if (this.running.isEmpty()) {
			return;
		}
		int budget = PROMPT_TOKENS_PER_STEP;
		List<Job> read = new ArrayList<>(this.running.size());
		for (Job job : this.running) {
			budget -= job.reading() ? job.read(budget) : 0;
			if (!job.reading()) {
				read.add(job);
			}
		}
		double nanos = STEP_NANOS + STEP_NANOS_PER_REQUEST * this.running.size()
				+ STEP_NANOS_PER_PROMPT_TOKEN * (PROMPT_TOKENS_PER_STEP - budget);
		this.stepping = true;
		long stepIncarnation = this.incarnation;
		this.loop.after((long) (nanos * this.slowdown / this.plan.speed()), () -> {
			this.stepping = false;
			if (this.alive && this.incarnation == stepIncarnation) {
				read.forEach(this::generate);
			}
			wake();
		});
	}

	private void begin(Job job) {
		long prefix = job.request().prefixHash();
		if (this.cache.containsKey(prefix)) {
			job.cached(job.request().prefixTokens());
		}
		this.cache.put(prefix, Boolean.TRUE);
		this.running.add(job);
	}

	private void generate(Job job) {
		if (job.ended()) {
			return;
		}
		int tokens = job.generate();
		if (tokens == 1) {
			job.listener().first(job.prefixHit());
		}
		if (tokens >= job.request().answerTokens() && !job.ended()) {
			job.end();
			this.running.remove(job);
			job.listener().done(tokens);
		}
	}

}
