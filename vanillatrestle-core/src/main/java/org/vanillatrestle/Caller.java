package org.vanillatrestle;

/**
 * A party of a customer that sends requests.
 * <p>
 * Immutable and thread safe. The home is one of the contract's allowed regions and does
 * not change between revisions.
 *
 * @param name the caller's name within its contract
 * @param home the region whose once ledger holds the caller's keys
 * @param keySha256 the SHA-256 of the caller's bearer key, 64 hexadecimal digits in lower
 * case
 */
public record Caller(CallerName name, RegionId home, String keySha256) {

}
