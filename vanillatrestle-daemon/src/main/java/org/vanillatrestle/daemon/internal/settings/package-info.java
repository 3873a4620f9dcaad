/**
 * Settings of a daemon: their model, reading and checking.
 */
package org.vanillatrestle.daemon.internal.settings;
