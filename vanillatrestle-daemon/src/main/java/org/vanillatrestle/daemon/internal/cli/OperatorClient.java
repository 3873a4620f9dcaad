package org.vanillatrestle.daemon.internal.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Sends requests to the deployment through the first of the given VMs that responds.
 * <p>
 * Not thread safe. VMs that can't be reached, or that are not the leader, are skipped. A
 * change that may have been accepted is never reported as not sent.
 */
final class OperatorClient implements AutoCloseable {

	private static final int MAX_ROUNDS = 5;

	private static final long RETRY_DELAY_MILLIS = 400;

	private final List<URI> servers;

	private final String key;

	private final HttpExchange exchange = new HttpExchange();

	OperatorClient(List<URI> servers, String key) {
		this.servers = new ArrayList<>(servers);
		this.key = key;
	}

	/**
	 * Sends a read request.
	 * @param path the path and query
	 * @return the response
	 * @throws CommandException if no VM responds
	 */
	ClientResponse get(String path) throws CommandException {
		String lastError = "";
		for (URI server : this.servers) {
			try {
				ClientResponse response = this.exchange.send(server, new ClientRequest("GET", path, this.key, ""));
				if (response.status() != 503) {
					return response;
				}
				lastError = server + ": " + response.body().path("message").asText();
			}
			catch (ClientException ex) {
				lastError = ex.getMessage();
			}
		}
		throw new CommandException(ExitCode.UNREACHABLE, lastError);
	}

	/**
	 * Sends a change. Retries a bounded number of times while there is no leader or if a
	 * response was lost. This is safe because a change takes effect only once, however
	 * often it is sent.
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param body the body; empty if the request has none
	 * @return the response
	 * @throws CommandException if no VM accepted the change, or if it is not known
	 * whether one did
	 */
	ClientResponse change(String method, String path, String body) throws CommandException {
		ClientRequest request = new ClientRequest(method, path, this.key, body);
		ExitCode exitCode = ExitCode.UNREACHABLE;
		String lastError = "";
		for (int round = 1; round <= MAX_ROUNDS; round++) {
			try {
				ClientResponse response = sendToAny(request);
				if (response.exitCode() != ExitCode.UNKNOWN) {
					return response;
				}
				throw response.toException();
			}
			catch (CommandException ex) {
				exitCode = (ex.exitCode() == ExitCode.UNKNOWN) ? ExitCode.UNKNOWN : exitCode;
				lastError = ex.getMessage();
			}
			Collections.rotate(this.servers, -1);
			waitBeforeRetry();
		}
		throw new CommandException(exitCode, lastError);
	}

	private ClientResponse sendToAny(ClientRequest request) throws CommandException {
		String lastError = "";
		List<URI> candidates = new ArrayList<>(this.servers);
		for (int i = 0; i < candidates.size(); i++) {
			URI server = candidates.get(i);
			try {
				ClientResponse response = this.exchange.send(server, request);
				if (response.status() != 503) {
					return response;
				}
				lastError = server + ": " + response.body().path("message").asText();
				addLeader(response, candidates);
			}
			catch (ClientException ex) {
				if (ex.maybeSent()) {
					throw new CommandException(ExitCode.UNKNOWN, ex.getMessage());
				}
				lastError = ex.getMessage();
			}
		}
		throw new CommandException(ExitCode.UNREACHABLE, lastError);
	}

	private static void addLeader(ClientResponse response, List<URI> candidates) {
		String leader = response.body().path("leader").asText();
		if (leader.isEmpty()) {
			return;
		}
		try {
			URI address = ServerAddresses.parse(leader);
			if (!candidates.contains(address)) {
				candidates.add(address);
			}
		}
		catch (CommandException ex) {
			return;
		}
	}

	private static void waitBeforeRetry() {
		try {
			Thread.sleep(RETRY_DELAY_MILLIS);
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
