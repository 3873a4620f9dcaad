package org.vanillatrestle.wire.internal.link;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import org.vanillatrestle.wire.TlsSettings;

/**
 * The TLS contexts of a VM for links that it accepts and links that it sets up, both with
 * certificates on both sides.
 * <p>
 * Immutable and thread safe.
 *
 * @param server for links that the VM accepts
 * @param client for links that the VM sets up
 */
public record TlsContexts(SslContext server, SslContext client) {

	/**
	 * Reads the files named by settings.
	 * @param settings the files
	 * @return the contexts
	 * @throws SSLException if a file can't be used
	 */
	public static TlsContexts read(TlsSettings settings) throws SSLException {
		try {
			SslContext server = SslContextBuilder
				.forServer(settings.certificateFile().toFile(), settings.keyFile().toFile())
				.trustManager(settings.trustFile().toFile())
				.clientAuth(ClientAuth.REQUIRE)
				.sslProvider(SslProvider.JDK)
				.build();
			SslContext client = SslContextBuilder.forClient()
				.keyManager(settings.certificateFile().toFile(), settings.keyFile().toFile())
				.trustManager(settings.trustFile().toFile())
				.endpointIdentificationAlgorithm(null)
				.sslProvider(SslProvider.JDK)
				.build();
			return new TlsContexts(server, client);
		}
		catch (IllegalArgumentException ex) {
			throw new SSLException("The certificate, key or trust file can't be used: " + ex.getMessage(), ex);
		}
	}

}
