/**
 * The files of a replica: segments of the log with votes, snapshots, and the identity of
 * the data folder.
 */
package org.vanillatrestle.daemon.internal.storage;
