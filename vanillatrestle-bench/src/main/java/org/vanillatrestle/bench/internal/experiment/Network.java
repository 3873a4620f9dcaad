package org.vanillatrestle.bench.internal.experiment;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The links between regions: a delay, a byte rate that all traffic of a direction shares,
 * and cuts.
 * <p>
 * A message on a cut link is lost; its sender learns of it after the detection time. Not
 * thread safe.
 */
final class Network {

	private static final long DETECTION_NANOS = 2_000_000_000L;

	private final EventLoop loop;

	private final Deployment deployment;

	private final Map<String, Long> busyUntilNanos = new HashMap<>();

	private final Set<String> cut = new HashSet<>();

	private long sentBytes;

	Network(EventLoop loop, Deployment deployment) {
		this.loop = loop;
		this.deployment = deployment;
	}

	void send(String from, String to, long bytes, Runnable delivered, Runnable lost) {
		if (from.equals(to)) {
			this.loop.after(this.deployment.dataCentreDelayNanos(), delivered);
			return;
		}
		if (isCut(from, to)) {
			this.loop.after(DETECTION_NANOS, lost);
			return;
		}
		this.sentBytes += bytes;
		long startNanos = Math.max(this.loop.nowNanos(), this.busyUntilNanos.getOrDefault(from + ">" + to, 0L));
		long endNanos = startNanos + bytes * 1_000_000_000L / this.deployment.linkBytesPerSecond();
		this.busyUntilNanos.put(from + ">" + to, endNanos);
		this.loop.at(endNanos + this.deployment.regionDelayNanos(), () -> {
			if (isCut(from, to)) {
				this.loop.after(DETECTION_NANOS, lost);
				return;
			}
			delivered.run();
		});
	}

	void cut(String first, String second, boolean isCut) {
		if (isCut) {
			this.cut.add(pair(first, second));
		}
		else {
			this.cut.remove(pair(first, second));
		}
	}

	boolean isCut(String first, String second) {
		return this.cut.contains(pair(first, second));
	}

	long sentBytes() {
		return this.sentBytes;
	}

	private static String pair(String first, String second) {
		return (first.compareTo(second) < 0) ? first + "-" + second : second + "-" + first;
	}

}
