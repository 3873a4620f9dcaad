/**
 * The deterministic replicated log: messages, time and completed disk writes come in,
 * messages, disk writes and committed entries go out.
 */
package org.vanillatrestle.internal.log;
