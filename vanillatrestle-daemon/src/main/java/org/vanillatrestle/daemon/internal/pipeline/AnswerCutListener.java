package org.vanillatrestle.daemon.internal.pipeline;

/**
 * Is told of answers that were broken off after they had begun.
 * <p>
 * Called on the VM's event loop.
 */
public interface AnswerCutListener {

	/**
	 * Called before the answer is broken off.
	 * @param exchange the request
	 * @param cut why the answer is broken off, and where
	 */
	void answerCut(Exchange exchange, AnswerCut cut);

	/**
	 * Returns a listener that calls this one and then another.
	 * @param next the other listener
	 * @return the combined listener
	 */
	default AnswerCutListener andThen(AnswerCutListener next) {
		return (exchange, cut) -> {
			answerCut(exchange, cut);
			next.answerCut(exchange, cut);
		};
	}

}
