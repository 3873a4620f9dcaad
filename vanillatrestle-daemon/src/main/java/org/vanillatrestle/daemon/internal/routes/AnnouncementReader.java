package org.vanillatrestle.daemon.internal.routes;

import java.util.Set;
import java.util.stream.Collectors;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.internal.json.JsonObject;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;

/**
 * Parses the announcements of targets from JSON.
 * <p>
 * Stateless and thread safe.
 */
final class AnnouncementReader {

	private static final int MAX_REQUESTS = 1_000_000;

	private static final long MAX_TOKENS_PER_SECOND = 100_000_000;

	private static final long MAX_PRICE_MICROS = 1_000_000_000_000L;

	private AnnouncementReader() {
	}

	static Announcement read(TargetId target, String json) throws InvalidDocumentException {
		JsonObject root = JsonObject.parse(json);
		ServiceKind kind = root.constant("kind", ServiceKind.class);
		CustomerId customer = root.has("customer") ? new CustomerId(root.name("customer")) : null;
		if (kind == ServiceKind.PLAIN && customer == null) {
			throw new InvalidDocumentException(root.path("customer"),
					"a PLAIN target must name the customer it serves");
		}
		Set<ModelName> models = root.names("models")
			.stream()
			.map(ModelName::new)
			.collect(Collectors.toUnmodifiableSet());
		HostAndPort address = HostAndPort.parse(root.string("host") + ":" + root.integer("port", 1, 65_535),
				root.path("host"));
		Announcement announcement = new Announcement(target, new DataCentreId(root.name("dataCentre")),
				root.integer("incarnation", 0, Long.MAX_VALUE), root.integer("sequence", 0, Long.MAX_VALUE), kind,
				customer, new ServiceName(root.name("service")), models,
				new TargetAddress(address.host(), address.port()), capacity(root.object("capacity")),
				load(root.object("load")), root.bool("leaving", false), root.bool("resumes", false));
		root.rejectUnknownFields();
		return announcement;
	}

	private static TargetCapacity capacity(JsonObject item) throws InvalidDocumentException {
		TargetCapacity capacity = new TargetCapacity((int) item.integer("maxRunning", 1, MAX_REQUESTS),
				item.integer("tokensPerSecond", 0, MAX_TOKENS_PER_SECOND, 0),
				item.integer("priceMicrosPerThousandTokens", 0, MAX_PRICE_MICROS, 0),
				item.integer("priceMicrosPerRequest", 0, MAX_PRICE_MICROS, 0));
		item.rejectUnknownFields();
		return capacity;
	}

	private static TargetLoad load(JsonObject item) throws InvalidDocumentException {
		TargetLoad load = new TargetLoad((int) item.integer("running", 0, MAX_REQUESTS, 0),
				(int) item.integer("queued", 0, MAX_REQUESTS, 0), (int) item.integer("cacheUsePercent", 0, 100, 0));
		item.rejectUnknownFields();
		return load;
	}

}
