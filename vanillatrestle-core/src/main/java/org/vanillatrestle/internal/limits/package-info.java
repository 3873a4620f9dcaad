/**
 * The division of a contract's global limits among VMs by expiring loans.
 */
package org.vanillatrestle.internal.limits;
