package org.vanillatrestle.daemon.internal.http;

/**
 * Tells the connections of a server to end, and counts what they had not completed.
 * <p>
 * Used only on the VM's event loop.
 */
final class ServerStop {

	/**
	 * Tells the connections that what had arrived before the stop has been read, so that
	 * those without a request close.
	 */
	static final Object READ = new Object();

	private int requestsEnded;

	private int answersUnwritten;

	void countEndedRequest() {
		this.requestsEnded++;
	}

	void countUnwrittenAnswer() {
		this.answersUnwritten++;
	}

	/**
	 * Returns how many requests were ended before their answer was complete.
	 * @return the number
	 */
	int requestsEnded() {
		return this.requestsEnded;
	}

	/**
	 * Returns how many complete answers had not been written to the socket.
	 * @return the number
	 */
	int answersUnwritten() {
		return this.answersUnwritten;
	}

}
