/**
 * The demonstration of a small deployment.
 */
package org.vanillatrestle.bench.internal.demo;
