/**
 * The command line.
 */
package org.vanillatrestle.daemon.internal.cli;
