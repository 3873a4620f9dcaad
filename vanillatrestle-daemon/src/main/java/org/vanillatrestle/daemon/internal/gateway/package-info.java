/**
 * The processing of requests on declared routes, and the components of entry VMs and
 * control VMs.
 */
package org.vanillatrestle.daemon.internal.gateway;
