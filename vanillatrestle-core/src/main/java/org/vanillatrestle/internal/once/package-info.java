/**
 * The once ledger: which calls that may run at most once were claimed, and their answers.
 */
package org.vanillatrestle.internal.once;
