/**
 * The settings of a daemon, their parsing and validation.
 */
package org.vanillatrestle.daemon.internal.settings;
