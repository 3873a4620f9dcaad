package org.vanillatrestle.daemon.internal.cli;

/**
 * A request of the command line to a VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param target the path with its query
 * @param key the operator's key
 * @param body the body, empty if there is none
 */
record ClientRequest(String method, String target, String key, String body) {

}
