/**
 * The open-loop load generator.
 */
package org.vanillatrestle.bench.internal.load;
