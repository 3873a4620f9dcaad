/**
 * Membership: the VMs of a data centre, and the summaries that data centres exchange
 * about themselves.
 */
package org.vanillatrestle.internal.membership;
