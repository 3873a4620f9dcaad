package org.vanillatrestle.internal.declaration;

/**
 * The kind of a route, which determines whether its requests may be repeated.
 * <p>
 * Immutable and thread safe.
 */
public enum RouteKind {

	/**
	 * A request may be run any number of times.
	 */
	IDEMPOTENT {
		@Override
		public boolean isRepeatable(boolean resumable) {
			return true;
		}
	},

	/**
	 * A request must be run at most once.
	 */
	NON_IDEMPOTENT {
		@Override
		public boolean isRepeatable(boolean resumable) {
			return false;
		}
	},

	/**
	 * The response is a stream of events. A request may be run again only if the stream
	 * can be resumed.
	 */
	STREAMING {
		@Override
		public boolean isRepeatable(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Returns whether a request that may already have run may be run again.
	 * @param resumable whether the route's streams can be resumed
	 * @return whether the request may be repeated
	 */
	public abstract boolean isRepeatable(boolean resumable);

}
