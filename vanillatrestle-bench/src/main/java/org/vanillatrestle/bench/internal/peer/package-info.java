/**
 * Measurements of the peer link and of the membership.
 */
package org.vanillatrestle.bench.internal.peer;
