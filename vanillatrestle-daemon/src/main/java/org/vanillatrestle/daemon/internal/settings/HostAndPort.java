package org.vanillatrestle.daemon.internal.settings;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;
import org.vanillatrestle.InvalidDocumentException;

/**
 * An IP address and a TCP port.
 * <p>
 * Immutable and thread safe. The host is an IP address, never a host name, so that no DNS
 * lookup is needed.
 *
 * @param host the IP address
 * @param port the port, or 0 for any free port
 */
public record HostAndPort(String host, int port) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Parses an address of the form {@code host:port}.
	 * @param text the text, for example {@code 127.0.1.1:8080}
	 * @param path the path of the text in its document, for error messages
	 * @return the address
	 * @throws InvalidDocumentException if the text is not an IP address and a port
	 */
	public static HostAndPort parse(String text, String path) throws InvalidDocumentException {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw invalid(text, path);
		}
		String ip = withoutBrackets(text.substring(0, colon));
		int number = parsePort(text.substring(colon + 1));
		if (number < 0 || !(NetUtil.isValidIpV4Address(ip) || NetUtil.isValidIpV6Address(ip))) {
			throw invalid(text, path);
		}
		return new HostAndPort(ip, number);
	}

	/**
	 * Converts this address to a socket address.
	 * @return the socket address
	 */
	public InetSocketAddress toSocketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	private static String withoutBrackets(String text) {
		boolean bracketed = text.startsWith("[") && text.endsWith("]");
		return bracketed ? text.substring(1, text.length() - 1) : text;
	}

	private static int parsePort(String text) {
		try {
			int number = Integer.parseInt(text);
			return (number <= MAX_PORT) ? number : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

	private static InvalidDocumentException invalid(String text, String path) {
		return new InvalidDocumentException(path,
				"'" + text + "' is not an address; an IP address and a port are expected, for example 127.0.1.1:8080");
	}

	@Override
	public String toString() {
		return (this.host.indexOf(':') >= 0) ? "[" + this.host + "]:" + this.port : this.host + ":" + this.port;
	}

}
