/**
 * Targets as they announce themselves, and the registry of those that are alive.
 */
package org.vanillatrestle.internal.target;
