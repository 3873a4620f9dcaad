/**
 * Creates and connects the components of a daemon.
 */
package org.vanillatrestle.daemon.internal.node;
