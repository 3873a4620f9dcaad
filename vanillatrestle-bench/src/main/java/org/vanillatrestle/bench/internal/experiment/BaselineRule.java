package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

import org.vanillatrestle.internal.target.Announcement;

/**
 * The simple ways that the policy is compared with.
 * <p>
 * Immutable and thread safe.
 */
enum BaselineRule {

	/**
	 * Each target of the allowed regions in turn.
	 */
	ROUND_ROBIN {
		@Override
		Announcement choose(BaselineRouter router, List<Announcement> candidates) {
			return candidates.get(router.nextTurn(candidates.size()));
		}
	},

	/**
	 * The target that reported the least load, relative to what it can process.
	 */
	LEAST_REPORTED_LOAD {
		@Override
		Announcement choose(BaselineRouter router, List<Announcement> candidates) {
			int offset = router.nextTurn(candidates.size());
			List<Announcement> turned = new ArrayList<>(candidates);
			Collections.rotate(turned, offset);
			return turned.stream()
				.min(Comparator.comparingDouble((target) -> (target.load().running() + target.load().queued())
						/ (double) target.capacity().maxRunning()))
				.orElseThrow();
		}
	},

	/**
	 * Each target of the home region in turn.
	 */
	HOME_ONLY {
		@Override
		Announcement choose(BaselineRouter router, List<Announcement> candidates) {
			return candidates.get(router.nextTurn(candidates.size()));
		}

		@Override
		boolean homeOnly() {
			return true;
		}
	},

	/**
	 * Any target of the allowed regions.
	 */
	RANDOM {
		@Override
		Announcement choose(BaselineRouter router, List<Announcement> candidates) {
			return candidates.get(router.random().nextInt(candidates.size()));
		}
	};

	abstract Announcement choose(BaselineRouter router, List<Announcement> candidates);

	boolean homeOnly() {
		return false;
	}

}
