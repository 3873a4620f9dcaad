/**
 * Decisions of the gateway for declared routes: which target, when to retry, when to
 * refuse.
 */
package org.vanillatrestle.internal.gateway;
