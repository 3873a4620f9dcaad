/**
 * The fault matrix over the request path.
 */
package org.vanillatrestle.bench.matrix;
