/**
 * The HTTP server for callers, targets and operators.
 */
package org.vanillatrestle.daemon.internal.http;
