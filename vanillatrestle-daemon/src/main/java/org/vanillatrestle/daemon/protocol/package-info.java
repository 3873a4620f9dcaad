/**
 * What an adapter implements to run the gateway on a platform: the platform's names are
 * translated here into types whose fields say what they hold.
 */
package org.vanillatrestle.daemon.protocol;
