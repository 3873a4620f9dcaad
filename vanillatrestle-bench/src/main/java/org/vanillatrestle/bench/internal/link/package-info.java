/**
 * Links between VMs that can be delayed and cut, for real processes.
 */
package org.vanillatrestle.bench.internal.link;
