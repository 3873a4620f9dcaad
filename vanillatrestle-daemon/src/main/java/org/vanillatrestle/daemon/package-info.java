/**
 * The daemon module of vanillatrestle.
 */
package org.vanillatrestle.daemon;
