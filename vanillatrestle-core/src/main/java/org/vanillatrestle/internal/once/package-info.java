/**
 * The once ledger, which records the claims and the answers of calls that may run at most
 * once.
 */
package org.vanillatrestle.internal.once;
