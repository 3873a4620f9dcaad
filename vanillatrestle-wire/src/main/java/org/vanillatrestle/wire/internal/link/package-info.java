/**
 * The link between two VMs: its codec, its streams with flow control, its calls.
 */
package org.vanillatrestle.wire.internal.link;
