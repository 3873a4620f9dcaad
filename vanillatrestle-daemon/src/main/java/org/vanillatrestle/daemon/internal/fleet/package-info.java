/**
 * Exchange of heartbeats, reports and declared state between VMs whose settings name only
 * the seeds.
 */
package org.vanillatrestle.daemon.internal.fleet;
