/**
 * Enforcement of contract limits, and the bounded fair request queues of the target
 * pools.
 */
package org.vanillatrestle.internal.admission;
