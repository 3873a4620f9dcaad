/**
 * The entry point to all decisions on the request path: admission, placement, retries and
 * forwarding.
 */
package org.vanillatrestle.internal.policy;
