/**
 * Announcements of targets, and the registry of live targets.
 */
package org.vanillatrestle.internal.target;
