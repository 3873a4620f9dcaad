/**
 * Measurements of the gateway beside direct calls.
 */
package org.vanillatrestle.bench.internal.measure;
