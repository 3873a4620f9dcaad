/**
 * Measures the contract book and the once ledger without a network or a disk.
 */
package org.vanillatrestle.bench.internal.state;
