package org.vanillatrestle;

/**
 * Says whether a request may have run on a target.
 * <p>
 * Immutable and thread safe. {@link #NOT_RUN} is a promise: no byte of the request
 * reached a target, or the VM that held it confirmed that it never will start.
 */
public enum Verdict {

	/**
	 * The request was not run and will not run unless it is sent again.
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
	 * The request ran and its whole answer was received.
	 */
	RAN {
		@Override
		public boolean permitsRepeat(Repeat repeat) {
			return false;
		}
	};

	/**
	 * Tells whether another attempt is safe after an attempt that ended with this
	 * verdict.
	 * @param repeat what the contract says of the call
	 * @return whether another attempt may be made
	 */
	public abstract boolean permitsRepeat(Repeat repeat);

	/**
	 * Combines the verdicts of several attempts of one request.
	 * @param other the verdict of another attempt
	 * @return the verdict that holds for both together
	 */
	public Verdict and(Verdict other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
