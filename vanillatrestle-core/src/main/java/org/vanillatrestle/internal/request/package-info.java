/**
 * Requests, decisions of the policy, and the capacity summaries that data centres
 * exchange.
 */
package org.vanillatrestle.internal.request;
