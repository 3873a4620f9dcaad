/**
 * The operators' HTTP interface: contracts, their history and status, and the audit
 * trail.
 */
package org.vanillatrestle.daemon.internal.operator;
