/**
 * The stand-in model engine: continuous batching, prefix cache, priorities, cancellation
 * and resumption of streams.
 */
package org.vanillatrestle.bench.internal.engine;
