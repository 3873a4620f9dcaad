package org.vanillatrestle.daemon.internal.cli;

/**
 * A request from the command line to a VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param key the operator's key
 * @param body the body; empty if the request has none
 */
record ClientRequest(String method, String path, String key, String body) {

}
