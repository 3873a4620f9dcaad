/**
 * The parts of a running daemon and their wiring.
 */
package org.vanillatrestle.daemon.internal.node;
