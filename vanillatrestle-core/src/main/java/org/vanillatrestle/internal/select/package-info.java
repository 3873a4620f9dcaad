/**
 * The selection of a target within the data centre.
 */
package org.vanillatrestle.internal.select;
