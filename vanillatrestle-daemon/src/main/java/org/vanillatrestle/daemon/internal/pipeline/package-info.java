/**
 * The filters that process a caller's request, and the attempts to have a target answer
 * it.
 */
package org.vanillatrestle.daemon.internal.pipeline;
