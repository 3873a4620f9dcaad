/**
 * Metrics by Micrometer.
 */
package org.vanillatrestle.daemon.internal.metrics;
