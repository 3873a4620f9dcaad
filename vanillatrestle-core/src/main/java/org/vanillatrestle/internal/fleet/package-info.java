/**
 * Reports of targets and entry VMs about their state and load, merged from several VMs.
 */
package org.vanillatrestle.internal.fleet;
