/**
 * The directory that lists the entry VMs for callers and targets.
 */
package org.vanillatrestle.daemon.internal.directory;
