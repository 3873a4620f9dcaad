package org.vanillatrestle.daemon.internal.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the server addresses of the option {@code --server}.
 * <p>
 * Stateless and thread safe.
 */
final class ServerAddresses {

	private static final String SCHEME_END = "://";

	private ServerAddresses() {
	}

	static List<URI> parseAll(String list) throws CommandException {
		List<URI> servers = new ArrayList<>();
		for (String server : list.split(",", -1)) {
			servers.add(parse(server.trim()));
		}
		return servers;
	}

	static URI parse(String server) throws CommandException {
		try {
			URI address = URI.create(server.contains(SCHEME_END) ? server : "http" + SCHEME_END + server);
			if ("http".equals(address.getScheme()) && address.getHost() != null && address.getPort() > 0) {
				return URI.create("http://" + address.getRawAuthority());
			}
		}
		catch (IllegalArgumentException ex) {
			throw invalidAddress(server);
		}
		throw invalidAddress(server);
	}

	private static CommandException invalidAddress(String server) {
		return new CommandException(ExitCode.INVALID,
				"'" + server + "' is not a server address; use for example http://127.0.1.1:8080 or 127.0.1.1:8080");
	}

}
