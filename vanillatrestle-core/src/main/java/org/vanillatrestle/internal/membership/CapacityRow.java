package org.vanillatrestle.internal.membership;

import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceName;

/**
 * The capacity of a data centre for one service and model.
 * <p>
 * Immutable and thread safe. Rows are looked up by a 32-bit hash of the names, so that no
 * names are sent between data centres. A hash collision only makes a capacity hint
 * inaccurate.
 *
 * @param key the hash of service and model
 * @param freeCapacity the number of requests that could start now
 * @param queueDelayMillis the expected wait before a request starts, in milliseconds
 * @param priceMicros the price per thousand tokens or per call, in millionths of the
 * currency
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
	 * Returns the key of a name. Sender and receiver must build the name in the same way.
	 * @param name the name
	 * @return the key
	 */
	public static int key(String name) {
		return (int) RendezvousHash.mix(RendezvousHash.hash(name));
	}

}
