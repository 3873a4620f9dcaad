/**
 * The HTTP routes: requests of callers, announcements of targets, health, metrics and
 * status.
 */
package org.vanillatrestle.daemon.internal.routes;
