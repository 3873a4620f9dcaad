package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.internal.policy.PolicySettings;
import org.vanillatrestle.internal.select.SelectionMode;
import org.vanillatrestle.internal.select.SelectionSettings;
import org.vanillatrestle.internal.sendaway.ForwardingSettings;

/**
 * The policies that an experiment can run: the project's own, variants of it, and
 * baselines.
 * <p>
 * Immutable and thread safe.
 */
enum PolicyKind {

	/**
	 * The project's policy with its defaults.
	 */
	POLICY {
		@Override
		Router router(World world, String region, int index) {
			return new PolicyRouter(world, region, index, PolicySettings.builder());
		}
	},

	/**
	 * The policy with two random choices by requests in flight.
	 */
	POLICY_TWO_CHOICES {
		@Override
		Router router(World world, String region, int index) {
			return withMode(world, region, index, SelectionMode.TWO_CHOICES);
		}
	},

	/**
	 * The policy with the least used target.
	 */
	POLICY_LEAST_USED {
		@Override
		Router router(World world, String region, int index) {
			return withMode(world, region, index, SelectionMode.LEAST_USED);
		}
	},

	/**
	 * The policy with requests in flight first and latency second.
	 */
	POLICY_HOT_COLD {
		@Override
		Router router(World world, String region, int index) {
			return withMode(world, region, index, SelectionMode.HOT_COLD);
		}
	},

	/**
	 * The policy with rendezvous hashing and bounded load.
	 */
	POLICY_RENDEZVOUS {
		@Override
		Router router(World world, String region, int index) {
			return withMode(world, region, index, SelectionMode.RENDEZVOUS);
		}
	},

	/**
	 * The policy without sending away.
	 */
	POLICY_STAY {
		@Override
		Router router(World world, String region, int index) {
			ForwardingSettings never = new ForwardingSettings(Long.MAX_VALUE, Long.MAX_VALUE, 100, 100, 0, 0, 0);
			return new PolicyRouter(world, region, index, PolicySettings.builder().forwarding(never));
		}
	},

	/**
	 * Round robin over all allowed targets.
	 */
	ROUND_ROBIN {
		@Override
		Router router(World world, String region, int index) {
			return new BaselineRouter(world, region, BaselineRule.ROUND_ROBIN);
		}
	},

	/**
	 * The least reported load of all allowed targets.
	 */
	LEAST_REPORTED_LOAD {
		@Override
		Router router(World world, String region, int index) {
			return new BaselineRouter(world, region, BaselineRule.LEAST_REPORTED_LOAD);
		}
	},

	/**
	 * Round robin at home.
	 */
	HOME_ONLY {
		@Override
		Router router(World world, String region, int index) {
			return new BaselineRouter(world, region, BaselineRule.HOME_ONLY);
		}
	},

	/**
	 * A random allowed target.
	 */
	RANDOM {
		@Override
		Router router(World world, String region, int index) {
			return new BaselineRouter(world, region, BaselineRule.RANDOM);
		}
	};

	abstract Router router(World world, String region, int index);

	boolean isBaseline() {
		return !name().startsWith("POLICY");
	}

	private static Router withMode(World world, String region, int index, SelectionMode mode) {
		return new PolicyRouter(world, region, index,
				PolicySettings.builder().selection(SelectionSettings.DEFAULTS.mode(mode)));
	}

}
