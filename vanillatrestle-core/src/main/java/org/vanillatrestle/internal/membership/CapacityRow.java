package org.vanillatrestle.internal.membership;

import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceName;

/**
 * What a data centre can take for one service and model.
 * <p>
 * Immutable and thread safe. The row is found by a 32-bit hash of the names, so that no
 * names need to cross between data centres; two names with one hash would only make a
 * hint wrong.
 *
 * @param key the hash of service and model
 * @param freeCapacity requests that could start now
 * @param queueDelayMillis the expected wait before a request starts
 * @param priceMicros the price per thousand tokens or per call, in millionths
 */
public record CapacityRow(int key, int freeCapacity, int queueDelayMillis, int priceMicros) {

	/**
	 * Returns the key of a service and model.
	 * @param service the service
	 * @param model the model, {@code null} for a plain service
	 * @return the key
	 */
	public static int key(ServiceName service, ModelName model) {
		return key(service.value() + '/' + ((model != null) ? model.value() : ""));
	}

	/**
	 * Returns the key of a name that both sides build in the same way.
	 * @param name the name
	 * @return the key
	 */
	public static int key(String name) {
		return (int) Rendezvous.mix(Rendezvous.hash(name));
	}

}
