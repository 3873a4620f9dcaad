/**
 * What targets report of themselves, merged from several VMs.
 */
package org.vanillatrestle.internal.fleet;
