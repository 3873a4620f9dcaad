/**
 * Small deployments of real daemons on loopback addresses: their settings files and their
 * processes.
 */
package org.vanillatrestle.bench.internal.deployment;
