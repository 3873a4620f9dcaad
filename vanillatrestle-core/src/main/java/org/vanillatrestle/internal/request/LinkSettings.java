package org.vanillatrestle.internal.request;

/**
 * What is known of the link to another data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param delayNanos delay one way, in nanoseconds
 * @param budgetBytesPerSecond what this VM may put on the link for requests sent away and
 * their answers, in bytes a second
 * @param priceMicrosPerMegabyte price of the transfer, in millionths of the currency
 */
public record LinkSettings(long delayNanos, long budgetBytesPerSecond, long priceMicrosPerMegabyte) {

}
