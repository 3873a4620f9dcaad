/**
 * The commands of the command line and the client that they share.
 */
package org.vanillatrestle.daemon.internal.cli;
