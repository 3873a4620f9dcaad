package org.vanillatrestle.wire;

/**
 * The claim under which a forwarded request may run at most once. The sender holds the
 * claim; the receiver makes none.
 * <p>
 * Immutable and thread safe, as long as nobody changes the digest.
 *
 * @param key the caller's key
 * @param ledgerDataCentre the data centre whose ledger holds the claim
 * @param bodyDigest the digest of the request's body
 * @param claimAttempt the id of the claiming attempt
 */
public record OnceInfo(String key, String ledgerDataCentre, byte[] bodyDigest, String claimAttempt) {

}
