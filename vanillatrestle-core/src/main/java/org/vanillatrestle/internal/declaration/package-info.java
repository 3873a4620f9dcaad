/**
 * Declarations: versioned, complete sets of routes, services and request limits.
 */
package org.vanillatrestle.internal.declaration;
