/**
 * The replica of the contract book on a VM with the role CONTROL.
 */
package org.vanillatrestle.daemon.internal.control;
