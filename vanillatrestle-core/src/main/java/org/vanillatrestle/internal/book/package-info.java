/**
 * The contract book: contracts in force, their history, the audit trail and the copies
 * that entry VMs follow.
 */
package org.vanillatrestle.internal.book;
