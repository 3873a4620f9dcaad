/**
 * The facade of all decisions on the request path.
 */
package org.vanillatrestle.internal.policy;
