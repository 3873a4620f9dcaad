/**
 * Declarations: whole sets of routes, services and limits under one version number.
 */
package org.vanillatrestle.internal.declaration;
