/**
 * The once ledger's replica, and the client through which any VM reaches it.
 */
package org.vanillatrestle.daemon.internal.ledger;
