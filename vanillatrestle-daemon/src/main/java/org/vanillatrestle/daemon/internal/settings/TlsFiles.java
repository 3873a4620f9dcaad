package org.vanillatrestle.daemon.internal.settings;

import java.nio.file.Path;

/**
 * The files for mutual TLS between VMs.
 * <p>
 * Immutable and thread safe. All files are in PEM format.
 *
 * @param certificateFile this VM's certificate chain
 * @param keyFile this VM's private key in PKCS #8 format
 * @param trustFile the certificates of the authorities that sign the VMs' certificates
 */
public record TlsFiles(Path certificateFile, Path keyFile, Path trustFile) {

}
