package org.vanillatrestle.wire.internal.link;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * The links in use, at most one per peer.
 * <p>
 * Not thread safe. Where both ends connect at the same time, both keep the link whose
 * initiator has the lower name; a newer link of the same initiator, or one of a higher
 * incarnation, takes the place of the older.
 */
public final class LinkTable {

	private final VmId self;

	private final Map<VmId, PeerLink> links = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param self this VM
	 */
	public LinkTable(VmId self) {
		this.self = self;
	}

	/**
	 * Finds the link to a peer.
	 * @param vm the peer
	 * @return the link, or {@code null}
	 */
	public PeerLink get(VmId vm) {
		return this.links.get(vm);
	}

	/**
	 * Returns the peers.
	 * @return the VMs to which a link is up
	 */
	public List<VmId> peers() {
		return new ArrayList<>(this.links.keySet());
	}

	/**
	 * Returns the links in use.
	 * @return a copy
	 */
	public Collection<PeerLink> all() {
		return new ArrayList<>(this.links.values());
	}

	/**
	 * Offers a link that has got its hello.
	 * @param link the link
	 * @return what becomes of it
	 */
	public Admission admit(PeerLink link) {
		VmId vm = link.peer().vm();
		if (vm.equals(this.self)) {
			return Admission.REFUSED;
		}
		PeerLink old = this.links.get(vm);
		if (old == null) {
			this.links.put(vm, link);
			return Admission.NEW_PEER;
		}
		if (!isPreferred(link, old)) {
			return Admission.REFUSED;
		}
		this.links.put(vm, link);
		if (link.peer().incarnation() > old.peer().incarnation()) {
			old.close();
			return Admission.NEW_PEER;
		}
		old.drain();
		return Admission.REPLACED;
	}

	/**
	 * Forgets a closed link.
	 * @param link the link
	 * @return whether the peer has no link any more
	 */
	public boolean remove(PeerLink link) {
		return link.peer() != null && this.links.remove(link.peer().vm(), link);
	}

	private boolean isPreferred(PeerLink link, PeerLink old) {
		if (link.peer().incarnation() != old.peer().incarnation()) {
			return link.peer().incarnation() > old.peer().incarnation();
		}
		if (link.isInitiator() == old.isInitiator()) {
			return true;
		}
		boolean selfIsLower = this.self.compareTo(link.peer().vm()) < 0;
		return link.isInitiator() == selfIsLower;
	}

	/**
	 * What becomes of an offered link.
	 */
	public enum Admission {

		/**
		 * It is the first link to its peer.
		 */
		NEW_PEER,

		/**
		 * It took the place of another link, which ends with its last stream.
		 */
		REPLACED,

		/**
		 * It is not used.
		 */
		REFUSED

	}

}
