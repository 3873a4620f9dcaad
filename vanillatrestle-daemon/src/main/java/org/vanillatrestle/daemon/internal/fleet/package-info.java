/**
 * Beats, reports and declared state between VMs that know only their seeds.
 */
package org.vanillatrestle.daemon.internal.fleet;
