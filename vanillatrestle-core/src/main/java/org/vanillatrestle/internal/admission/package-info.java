/**
 * Contract limits, and the bounded fair queues before the pools of targets.
 */
package org.vanillatrestle.internal.admission;
