package org.vanillatrestle.internal.declaration;

/**
 * What may be repeated on a route.
 * <p>
 * Immutable and thread safe.
 */
public enum RouteKind {

	/**
	 * A request may run any number of times.
	 */
	IDEMPOTENT {
		@Override
		public boolean isRepeatable(boolean resumable) {
			return true;
		}
	},

	/**
	 * A request runs at most once.
	 */
	NON_IDEMPOTENT {
		@Override
		public boolean isRepeatable(boolean resumable) {
			return false;
		}
	},

	/**
	 * The answer is a stream of events; it may run again only where it can be resumed.
	 */
	STREAMING {
		@Override
		public boolean isRepeatable(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Tells whether a request that may have run may run again.
	 * @param resumable whether the route's streams can be resumed
	 * @return whether a repeat is allowed
	 */
	public abstract boolean isRepeatable(boolean resumable);

}
