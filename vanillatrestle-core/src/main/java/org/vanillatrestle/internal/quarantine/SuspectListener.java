package org.vanillatrestle.internal.quarantine;

import java.util.List;

/**
 * Receives what this VM has observed of suspect prompt parts and all VMs have to know.
 */
public interface SuspectListener {

	/**
	 * Called when requests of this VM have changed what is known of parts.
	 * @param changed the parts
	 */
	void suspectsChanged(List<SuspectPart> changed);

}
