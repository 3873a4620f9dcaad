/**
 * Budgets and back-off of retries.
 */
package org.vanillatrestle.internal.retry;
