package org.vanillatrestle.bench.internal.standin;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * What a target says of itself that does not change while it runs.
 * <p>
 * Immutable and thread safe.
 *
 * @param id the target's id
 * @param kind {@code MODEL} or {@code PLAIN}
 * @param dataCentre its data centre
 * @param service its service
 * @param customer the customer it serves alone, empty for all
 * @param models the models it serves, empty for a plain service
 * @param capacity what it can carry and its price
 * @param entries the entry VMs to announce to, as {@code host:port}; empty to announce to
 * nobody
 * @param secret the shared secret it sends, empty for none
 */
public record TargetProfile(String id, String kind, String dataCentre, String service, String customer,
		List<String> models, TargetPrice capacity, List<String> entries, String secret) {

	/**
	 * Copies the lists.
	 */
	public TargetProfile {
		models = List.copyOf(models);
		entries = List.copyOf(entries);
	}

	/**
	 * Writes the announcement's unchanging part.
	 * @param host the address where the target listens
	 * @param port its port
	 * @return the object, to which the caller adds what changes
	 */
	public ObjectNode toJson(String host, int port) {
		ObjectNode top = Responses.object()
			.put("dataCentre", this.dataCentre)
			.put("kind", this.kind)
			.put("service", this.service)
			.put("host", host)
			.put("port", port);
		if (!this.customer.isEmpty()) {
			top.put("customer", this.customer);
		}
		ArrayNode names = top.putArray("models");
		this.models.forEach(names::add);
		top.set("capacity", this.capacity.toJson());
		return top;
	}

}
