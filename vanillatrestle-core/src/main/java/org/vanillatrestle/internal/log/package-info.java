/**
 * The deterministic replicated log. Its inputs are messages, the time and completed disk
 * writes; its outputs are messages, disk writes and committed entries.
 */
package org.vanillatrestle.internal.log;
