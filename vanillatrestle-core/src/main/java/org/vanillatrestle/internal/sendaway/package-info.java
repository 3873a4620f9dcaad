/**
 * The decision whether to forward a request to another data centre.
 */
package org.vanillatrestle.internal.sendaway;
