/**
 * Set-up of the logging backend from settings.
 */
package org.vanillatrestle.daemon.internal.logging;
