/**
 * Strict reading of JSON documents, with errors that contain the path of the invalid
 * field.
 */
package org.vanillatrestle.internal.json;
