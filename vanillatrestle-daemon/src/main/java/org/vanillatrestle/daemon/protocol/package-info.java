/**
 * The interface that an adapter implements to run the gateway on a platform, and the
 * types into which it translates the platform's names.
 */
package org.vanillatrestle.daemon.protocol;
