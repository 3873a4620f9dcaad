/**
 * Orderly start and stop of a daemon's parts.
 */
package org.vanillatrestle.daemon.internal.lifecycle;
