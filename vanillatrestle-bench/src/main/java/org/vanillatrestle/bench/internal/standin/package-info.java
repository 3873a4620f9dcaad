/**
 * What all stand-in targets share: faults on command, the run log and announcements.
 */
package org.vanillatrestle.bench.internal.standin;
