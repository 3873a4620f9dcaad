/**
 * Finds prompt parts that crash engines and keeps requests with such parts away from
 * them.
 */
package org.vanillatrestle.internal.quarantine;
