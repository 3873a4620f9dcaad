package org.vanillatrestle;

/**
 * Specifies whether a request may have run on a target.
 * <p>
 * Immutable and thread safe. {@link #NOT_RUN} is a guarantee: either no byte of the
 * request reached a target, or the VM that held the request confirmed that it will never
 * start.
 */
public enum Verdict {

	/**
	 * The request has not run and will not run unless it is sent again.
	 */
	NOT_RUN {
		@Override
		public boolean permitsRepeat(Repeat repeat) {
			return true;
		}
	},

	/**
	 * The request may have run, may be running, or may still run.
	 */
	MAY_HAVE_RUN {
		@Override
		public boolean permitsRepeat(Repeat repeat) {
			return repeat == Repeat.IDEMPOTENT;
		}
	},

	/**
	 * The request ran, and its complete response was received.
	 */
	RAN {
		@Override
		public boolean permitsRepeat(Repeat repeat) {
			return false;
		}
	};

	/**
	 * Returns whether another attempt is safe after an attempt that ended with this
	 * verdict.
	 * @param repeat whether the contract allows the call to be run more than once
	 * @return whether another attempt is permitted
	 */
	public abstract boolean permitsRepeat(Repeat repeat);

	/**
	 * Combines the verdicts of several attempts of one request.
	 * @param other the verdict of another attempt
	 * @return the verdict for both attempts together
	 */
	public Verdict and(Verdict other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
