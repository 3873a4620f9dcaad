/**
 * The directory that tells callers which entry VMs to use.
 */
package org.vanillatrestle.daemon.internal.directory;
