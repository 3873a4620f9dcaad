/**
 * The HTTP client that sends requests to targets.
 */
package org.vanillatrestle.daemon.internal.target;
