/**
 * Communication between VMs: links, membership, the exchange of target announcements, and
 * the synchronisation of the contract book.
 */
package org.vanillatrestle.daemon.internal.peer;
