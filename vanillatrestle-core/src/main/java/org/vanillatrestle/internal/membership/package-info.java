/**
 * Who is there: the VMs of a data centre, and what other data centres say of themselves.
 */
package org.vanillatrestle.internal.membership;
