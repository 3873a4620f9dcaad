package org.vanillatrestle.daemon.internal.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Asks the deployment through whichever of the given VMs answers.
 * <p>
 * To be used by one thread. A VM that can't be reached, or that does not lead, is passed
 * over. Once a change may have been taken, it is never reported as not sent.
 */
final class OperatorClient implements AutoCloseable {

	private static final int MAX_ROUNDS = 5;

	private static final long PAUSE_MILLIS = 400;

	private final List<URI> servers;

	private final String key;

	private final HttpExchange exchange = new HttpExchange();

	OperatorClient(List<URI> servers, String key) {
		this.servers = new ArrayList<>(servers);
		this.key = key;
	}

	/**
	 * Reads.
	 * @param target the path with its query
	 * @return the answer
	 * @throws CommandFault if no VM answers
	 */
	ClientAnswer get(String target) throws CommandFault {
		String fault = "";
		for (URI server : this.servers) {
			try {
				ClientAnswer answer = this.exchange.send(server, new ClientRequest("GET", target, this.key, ""));
				if (answer.status() != 503) {
					return answer;
				}
				fault = server + ": " + answer.body().path("message").asText();
			}
			catch (ClientException ex) {
				fault = ex.getMessage();
			}
		}
		throw new CommandFault(ExitCode.UNREACHABLE, fault);
	}

	/**
	 * Changes. Waits a bounded time for a leader, and sends again where an answer was
	 * lost: a change takes effect once however often it is sent.
	 * @param method the HTTP method
	 * @param target the path with its query
	 * @param body the body, empty if there is none
	 * @return the answer
	 * @throws CommandFault if no VM took the change, or if it is not known whether one
	 * did
	 */
	ClientAnswer change(String method, String target, String body) throws CommandFault {
		ClientRequest request = new ClientRequest(method, target, this.key, body);
		ExitCode exitCode = ExitCode.UNREACHABLE;
		String fault = "";
		for (int round = 1; round <= MAX_ROUNDS; round++) {
			try {
				ClientAnswer answer = offer(request);
				if (answer.exitCode() != ExitCode.UNKNOWN) {
					return answer;
				}
				throw answer.toFault();
			}
			catch (CommandFault ex) {
				exitCode = (ex.exitCode() == ExitCode.UNKNOWN) ? ExitCode.UNKNOWN : exitCode;
				fault = ex.getMessage();
			}
			Collections.rotate(this.servers, -1);
			pause();
		}
		throw new CommandFault(exitCode, fault);
	}

	private ClientAnswer offer(ClientRequest request) throws CommandFault {
		String fault = "";
		List<URI> candidates = new ArrayList<>(this.servers);
		for (int i = 0; i < candidates.size(); i++) {
			URI server = candidates.get(i);
			try {
				ClientAnswer answer = this.exchange.send(server, request);
				if (answer.status() != 503) {
					return answer;
				}
				fault = server + ": " + answer.body().path("message").asText();
				addLeader(answer, candidates);
			}
			catch (ClientException ex) {
				if (ex.maybeSent()) {
					throw new CommandFault(ExitCode.UNKNOWN, ex.getMessage());
				}
				fault = ex.getMessage();
			}
		}
		throw new CommandFault(ExitCode.UNREACHABLE, fault);
	}

	private static void addLeader(ClientAnswer answer, List<URI> candidates) {
		String leader = answer.body().path("leader").asText();
		if (leader.isEmpty()) {
			return;
		}
		try {
			URI address = ServerAddresses.parse(leader);
			if (!candidates.contains(address)) {
				candidates.add(address);
			}
		}
		catch (CommandFault ex) {
			return;
		}
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.exchange.close();
	}

}
