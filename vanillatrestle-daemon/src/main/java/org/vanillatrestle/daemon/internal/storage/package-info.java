/**
 * The files of a replica: the segments of the log, which also contain the votes, the
 * snapshots, and the identity of the data folder.
 */
package org.vanillatrestle.daemon.internal.storage;
