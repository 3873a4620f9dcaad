/**
 * Structured logging and the configuration of the logging backend.
 */
package org.vanillatrestle.daemon.internal.logging;
