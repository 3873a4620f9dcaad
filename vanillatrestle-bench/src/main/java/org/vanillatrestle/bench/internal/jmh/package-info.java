/**
 * JMH benchmarks of the request path's decisions.
 */
package org.vanillatrestle.bench.internal.jmh;
