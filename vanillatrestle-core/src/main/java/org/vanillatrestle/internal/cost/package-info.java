/**
 * What each customer's requests cost.
 */
package org.vanillatrestle.internal.cost;
