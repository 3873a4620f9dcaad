package org.vanillatrestle.bench.internal.experiment;

/**
 * What may befall targets and links.
 * <p>
 * Immutable and thread safe.
 */
enum FaultKind {

	/**
	 * The target is slower by a factor.
	 */
	SLOW {
		@Override
		void begin(FakeTarget target, double factor) {
			target.slowdown(factor);
		}

		@Override
		void end(FakeTarget target) {
			target.slowdown(1);
		}
	},

	/**
	 * The target accepts requests and announces itself but makes no progress.
	 */
	STALLED {
		@Override
		void begin(FakeTarget target, double factor) {
			target.stalled(true);
		}

		@Override
		void end(FakeTarget target) {
			target.stalled(false);
		}
	},

	/**
	 * The target refuses all requests but announces itself.
	 */
	REFUSING {
		@Override
		void begin(FakeTarget target, double factor) {
			target.refusing(true);
		}

		@Override
		void end(FakeTarget target) {
			target.refusing(false);
		}
	},

	/**
	 * The target has crashed; it comes back with a cold cache.
	 */
	CRASHED {
		@Override
		void begin(FakeTarget target, double factor) {
			target.crash();
		}

		@Override
		void end(FakeTarget target) {
			target.start();
		}
	},

	/**
	 * The target loses its cache.
	 */
	COLD {
		@Override
		void begin(FakeTarget target, double factor) {
			target.clearCache();
		}

		@Override
		void end(FakeTarget target) {
		}
	},

	/**
	 * The link between two regions is cut.
	 */
	LINK_CUT {
		@Override
		void begin(FakeTarget target, double factor) {
		}

		@Override
		void end(FakeTarget target) {
		}
	};

	abstract void begin(FakeTarget target, double factor);

	abstract void end(FakeTarget target);

}
