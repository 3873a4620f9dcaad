/**
 * The way of a request on a declared route.
 */
package org.vanillatrestle.daemon.internal.gateway;
