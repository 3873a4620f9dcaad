package org.vanillatrestle.wire;

import java.nio.file.Files;
import java.nio.file.Path;

import io.netty.handler.ssl.util.SelfSignedCertificate;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Links under mutual TLS.
 */
@SuppressWarnings("deprecation")
class PeerTlsTests {

	@TempDir
	Path folder;

	private static SelfSignedCertificate certificateA;

	private static SelfSignedCertificate certificateB;

	private static SelfSignedCertificate certificateC;

	@BeforeAll
	static void createCertificates() throws Exception {
		certificateA = new SelfSignedCertificate("vm-a");
		certificateB = new SelfSignedCertificate("vm-b");
		certificateC = new SelfSignedCertificate("vm-c");
	}

	@Test
	void shouldLinkVmsThatTrustEachOther() throws Exception {
		Path trust = trust(certificateA, certificateB);
		try (PeerPair pair = new PeerPair(PeerPair.QUICK, tls(certificateA, trust), tls(certificateB, trust))) {
			pair.link();
			byte[] answer = PeerPair
				.get(pair.onLoop(() -> pair.a.call(PeerPair.B, PeerChannel.LOG, "x".getBytes(), 1_000)));
			assertThat(answer).asString().isEqualTo("x");
		}
	}

	@Test
	void shouldRefuseACertificateThatNamesAnotherVm() throws Exception {
		Path trust = trust(certificateA, certificateC);
		try (PeerPair pair = new PeerPair(PeerPair.QUICK, tls(certificateA, trust), tls(certificateC, trust))) {
			connect(pair);
			assertThat(pair.onLoop(() -> pair.handlerA.connected)).isEmpty();
			pair.await(() -> pair.handlerB.disconnected.equals(pair.handlerB.connected));
		}
	}

	@Test
	void shouldRefuseACertificateThatIsNotTrusted() throws Exception {
		Path trustA = trust(certificateA);
		Path trustB = trust(certificateA, certificateB);
		try (PeerPair pair = new PeerPair(PeerPair.QUICK, tls(certificateA, trustA), tls(certificateB, trustB))) {
			assertNoLink(pair);
		}
	}

	@Test
	void shouldRefuseAPeerWithoutTls() throws Exception {
		Path trust = trust(certificateB);
		try (PeerPair pair = new PeerPair(PeerPair.QUICK, null, tls(certificateB, trust))) {
			assertNoLink(pair);
		}
	}

	private static void assertNoLink(PeerPair pair) throws Exception {
		connect(pair);
		assertThat(pair.onLoop(() -> pair.handlerA.connected)).isEmpty();
		assertThat(pair.onLoop(() -> pair.handlerB.connected)).isEmpty();
	}

	private static void connect(PeerPair pair) throws Exception {
		pair.listen();
		pair.onLoop(() -> {
			pair.a.connect(pair.addressB);
			return null;
		});
		Thread.sleep(400);
	}

	private static TlsSettings tls(SelfSignedCertificate certificate, Path trust) {
		return new TlsSettings(certificate.certificate().toPath(), certificate.privateKey().toPath(), trust);
	}

	private Path trust(SelfSignedCertificate... certificates) throws Exception {
		StringBuilder all = new StringBuilder();
		for (SelfSignedCertificate certificate : certificates) {
			all.append(Files.readString(certificate.certificate().toPath()));
		}
		Path file = Files.createTempFile(this.folder, "trust", ".pem");
		return Files.writeString(file, all);
	}

}
