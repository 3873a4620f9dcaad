/**
 * The bench module of vanillatrestle.
 */
package org.vanillatrestle.bench;
