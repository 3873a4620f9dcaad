/**
 * Closes the resources of a daemon when it stops.
 */
package org.vanillatrestle.daemon.internal.lifecycle;
