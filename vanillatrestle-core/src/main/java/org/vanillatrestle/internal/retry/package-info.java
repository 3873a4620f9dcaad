/**
 * Retry decisions, retry budgets and back-off.
 */
package org.vanillatrestle.internal.retry;
