/**
 * Runs a replicated log with its own thread, a data folder and a transport.
 */
package org.vanillatrestle.daemon.internal.replica;
