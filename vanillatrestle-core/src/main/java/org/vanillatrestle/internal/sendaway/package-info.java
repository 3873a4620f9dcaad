/**
 * The decision to send a request to another data centre.
 */
package org.vanillatrestle.internal.sendaway;
