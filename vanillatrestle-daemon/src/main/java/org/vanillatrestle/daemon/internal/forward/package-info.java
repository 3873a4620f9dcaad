/**
 * Forwarding of requests between VMs. A request is forwarded at most once.
 */
package org.vanillatrestle.daemon.internal.forward;
