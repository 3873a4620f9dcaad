/**
 * The selection of a target for each request within the VM's data centre.
 */
package org.vanillatrestle.internal.select;
