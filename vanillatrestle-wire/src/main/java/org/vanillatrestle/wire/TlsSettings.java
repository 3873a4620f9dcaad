package org.vanillatrestle.wire;

import java.nio.file.Path;

/**
 * Files for mutual TLS between VMs, all in PEM form.
 * <p>
 * Immutable and thread safe. The certificate must name its VM, as common name or as DNS
 * name among the alternative names: a link whose hello names another VM is closed.
 *
 * @param certificateFile this VM's certificate, followed by its chain
 * @param keyFile the certificate's private key (PKCS 8, not encrypted)
 * @param trustFile the certificates of the authorities that sign VMs' certificates
 */
public record TlsSettings(Path certificateFile, Path keyFile, Path trustFile) {

}
