/**
 * The contracts in force on this VM.
 */
package org.vanillatrestle.daemon.internal.contracts;
