package org.vanillatrestle.wire;

import java.util.List;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetLoad;

/**
 * Announcements of targets that a VM passes on to the others of its data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param full announcements in full
 * @param loads the loads of targets that were passed on in full before
 */
public record TargetNews(List<Full> full, List<Load> loads) {

	public TargetNews {
		full = List.copyOf(full);
		loads = List.copyOf(loads);
	}

	/**
	 * Returns the 32-bit hash by which a load names its target.
	 * @param target the target
	 * @param incarnation its incarnation
	 * @return the key
	 */
	public static int key(TargetId target, long incarnation) {
		long mixed = (target.value().hashCode() * 0x9e3779b97f4a7c15L) ^ (incarnation * 0xc2b2ae3d27d4eb4fL);
		return (int) (mixed ^ (mixed >>> 32));
	}

	/**
	 * An announcement in full.
	 *
	 * @param announcement the announcement
	 * @param ageMillis the time since the target made it, but for the time on links
	 */
	public record Full(Announcement announcement, int ageMillis) {

	}

	/**
	 * The load in a later announcement of a target whose other content did not change.
	 *
	 * @param key names target and incarnation
	 * @param sequence the announcement's number
	 * @param load the load
	 * @param ageMillis the time since the target made it, but for the time on links
	 */
	public record Load(int key, long sequence, TargetLoad load, int ageMillis) {

	}

}
