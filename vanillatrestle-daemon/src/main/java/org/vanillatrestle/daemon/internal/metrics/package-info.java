/**
 * Metrics, recorded with Micrometer.
 */
package org.vanillatrestle.daemon.internal.metrics;
