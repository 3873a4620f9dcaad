/**
 * The files of a replica: log segments, which also contain the votes, snapshots, and the
 * identity of the data folder.
 */
package org.vanillatrestle.daemon.internal.storage;
