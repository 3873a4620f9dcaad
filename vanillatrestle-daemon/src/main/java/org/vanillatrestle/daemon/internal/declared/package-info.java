/**
 * The replica of the declared state and the calls to its leader.
 */
package org.vanillatrestle.daemon.internal.declared;
