/**
 * The subcommands of the bench.
 */
package org.vanillatrestle.bench.internal.command;
