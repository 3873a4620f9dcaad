package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.List;

/**
 * The live generations of issued keys, which have been opened and not yet retired, in
 * ascending order.
 * <p>
 * Not thread safe. A generation that was retired, or that this ledger never opened, is
 * not live. No generation number is opened twice. A generation is due for retirement when
 * the next one has been open for the retention time, so that none of its keys was issued
 * during that time.
 */
final class Generations {

	private final List<Generation> live = new ArrayList<>();

	boolean isEmpty() {
		return this.live.isEmpty();
	}

	boolean isLive(long number) {
		return this.live.stream().anyMatch((generation) -> generation.number() == number);
	}

	Generation current() {
		return this.live.get(this.live.size() - 1);
	}

	void open(long number, long nowMillis) {
		this.live.add(new Generation(number, nowMillis));
	}

	void openIfDue(long nowMillis, long generationMillis) {
		if (nowMillis - current().openedAtMillis() >= generationMillis) {
			open(current().number() + 1, nowMillis);
		}
	}

	List<Long> retireDue(long nowMillis, long retentionMillis) {
		List<Long> retired = new ArrayList<>();
		while (this.live.size() > 1 && nowMillis - this.live.get(1).openedAtMillis() >= retentionMillis) {
			retired.add(this.live.remove(0).number());
		}
		return retired;
	}

	List<Long> retireUpTo(long number) {
		List<Long> retired = new ArrayList<>();
		while (this.live.size() > 1 && this.live.get(0).number() <= number) {
			retired.add(this.live.remove(0).number());
		}
		return retired;
	}

	List<Generation> toList() {
		return new ArrayList<>(this.live);
	}

	void restore(List<Generation> generations) {
		this.live.clear();
		this.live.addAll(generations);
	}

}
