package org.vanillatrestle.wire.internal.link;

import java.security.cert.Certificate;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;

import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

import org.vanillatrestle.VmId;

/**
 * Checks that a peer's certificate names the VM that the peer says it is.
 * <p>
 * Stateless and thread safe.
 */
final class CertificateNames {

	private static final int DNS_NAME = 2;

	private CertificateNames() {
	}

	static boolean contain(SSLSession session, VmId vm) {
		try {
			Certificate certificate = session.getPeerCertificates()[0];
			return certificate instanceof X509Certificate x509
					&& (hasCommonName(x509, vm.value()) || hasDnsName(x509, vm.value()));
		}
		catch (SSLPeerUnverifiedException | CertificateParsingException | InvalidNameException ex) {
			return false;
		}
	}

	private static boolean hasCommonName(X509Certificate certificate, String name) throws InvalidNameException {
		LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
		for (Rdn part : subject.getRdns()) {
			if (part.getType().equalsIgnoreCase("CN") && part.getValue().equals(name)) {
				return true;
			}
		}
		return false;
	}

	private static boolean hasDnsName(X509Certificate certificate, String name) throws CertificateParsingException {
		Collection<List<?>> names = certificate.getSubjectAlternativeNames();
		if (names == null) {
			return false;
		}
		return names.stream()
			.anyMatch((entry) -> Integer.valueOf(DNS_NAME).equals(entry.get(0)) && name.equals(entry.get(1)));
	}

}
