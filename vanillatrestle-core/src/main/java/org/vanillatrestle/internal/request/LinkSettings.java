package org.vanillatrestle.internal.request;

/**
 * The settings of the link to another data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param delayNanos the one-way delay, in nanoseconds
 * @param budgetBytesPerSecond the bandwidth that this VM may use on the link for
 * forwarded requests and their answers, in bytes per second
 * @param priceMicrosPerMegabyte the price of the transfer per megabyte, in millionths of
 * the currency
 */
public record LinkSettings(long delayNanos, long budgetBytesPerSecond, long priceMicrosPerMegabyte) {

}
