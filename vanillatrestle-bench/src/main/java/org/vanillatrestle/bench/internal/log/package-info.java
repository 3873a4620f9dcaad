/**
 * Measures the replicated log.
 */
package org.vanillatrestle.bench.internal.log;
