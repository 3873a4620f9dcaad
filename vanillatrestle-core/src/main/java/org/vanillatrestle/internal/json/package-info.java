/**
 * Strict reading of JSON documents with the path of each fault.
 */
package org.vanillatrestle.internal.json;
