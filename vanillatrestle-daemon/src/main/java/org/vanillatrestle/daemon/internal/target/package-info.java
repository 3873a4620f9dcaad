/**
 * The HTTP client towards targets.
 */
package org.vanillatrestle.daemon.internal.target;
