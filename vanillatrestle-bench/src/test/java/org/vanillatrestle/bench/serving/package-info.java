/**
 * The serving path as callers meet it, against stand-in targets.
 */
package org.vanillatrestle.bench.serving;
