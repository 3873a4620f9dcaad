/**
 * The cost of each customer's requests.
 */
package org.vanillatrestle.internal.cost;
