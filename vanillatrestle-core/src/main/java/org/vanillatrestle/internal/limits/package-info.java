/**
 * The division of a contract's global limits among VMs. VMs lend parts of their shares to
 * each other by loans that expire.
 */
package org.vanillatrestle.internal.limits;
