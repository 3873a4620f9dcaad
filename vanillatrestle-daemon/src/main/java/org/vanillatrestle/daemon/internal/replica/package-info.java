/**
 * Runs a replicated log on a thread, a data folder and a transport.
 */
package org.vanillatrestle.daemon.internal.replica;
