/**
 * The wire module of vanillatrestle.
 */
package org.vanillatrestle.wire;
