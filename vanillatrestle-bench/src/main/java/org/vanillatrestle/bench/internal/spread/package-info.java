/**
 * How fast contract changes are in force everywhere.
 */
package org.vanillatrestle.bench.internal.spread;
