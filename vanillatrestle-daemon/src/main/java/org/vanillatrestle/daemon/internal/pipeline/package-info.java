/**
 * The filters that a caller's request passes, and the attempts at targets.
 */
package org.vanillatrestle.daemon.internal.pipeline;
