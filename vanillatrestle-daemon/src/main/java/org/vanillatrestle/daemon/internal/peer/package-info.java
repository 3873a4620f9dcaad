/**
 * The VM's part among its peers: links, membership, announcements passed on, contract
 * book pulled from whoever is ahead.
 */
package org.vanillatrestle.daemon.internal.peer;
