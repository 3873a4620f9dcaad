/**
 * The once ledger: its replica, and the way to it from any VM.
 */
package org.vanillatrestle.daemon.internal.ledger;
