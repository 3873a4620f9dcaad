/**
 * Decisions of the gateway about requests of declared routes: which target serves a
 * request, when it is retried and when it is refused.
 */
package org.vanillatrestle.internal.gateway;
