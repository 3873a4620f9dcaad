/**
 * The contract book: the contracts in force, their revision history, the audit trail and
 * the copies kept on entry VMs.
 */
package org.vanillatrestle.internal.book;
