package org.vanillatrestle;

/**
 * A client of a customer, identified by its own bearer key.
 * <p>
 * Immutable and thread safe. The home region is one of the allowed regions of the
 * contract and does not change between revisions.
 *
 * @param name the name of the caller, unique within its contract
 * @param homeRegion the home region, whose once ledger holds the caller's idempotency
 * keys
 * @param keySha256 the SHA-256 of the caller's bearer key as 64 lower-case hexadecimal
 * digits
 */
public record Caller(CallerName name, RegionId homeRegion, String keySha256) {

}
