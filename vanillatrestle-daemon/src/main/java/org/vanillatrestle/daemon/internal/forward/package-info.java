/**
 * Requests that cross between VMs, once at most.
 */
package org.vanillatrestle.daemon.internal.forward;
