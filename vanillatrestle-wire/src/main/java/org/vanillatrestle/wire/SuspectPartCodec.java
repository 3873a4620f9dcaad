package org.vanillatrestle.wire;

import java.util.List;
import java.util.TreeSet;

import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.quarantine.PartKey;
import org.vanillatrestle.internal.quarantine.SuspectPart;
import org.vanillatrestle.wire.generated.fleet.SuspectPartRow;
import org.vanillatrestle.wire.generated.fleet.SuspectParts;

/**
 * The bytes of suspect prompt parts.
 * <p>
 * Stateless and thread safe.
 */
final class SuspectPartCodec {

	private SuspectPartCodec() {
	}

	static SuspectParts message(List<SuspectPart> parts) {
		SuspectParts.Builder message = SuspectParts.newBuilder();
		parts.forEach((part) -> message.addParts(SuspectPartRow.newBuilder()
			.setService(part.key().service().value())
			.setPart(part.key().part())
			.setEpoch(part.epoch())
			.setCrashes(part.crashes())
			.addAllCrashIds(part.crashIds())
			.setAgeMillis(part.ageMillis())));
		return message.build();
	}

	/**
	 * Reads parts.
	 * @param message the message
	 * @return the parts
	 * @throws IllegalArgumentException if a part is not valid
	 */
	static List<SuspectPart> parts(SuspectParts message) {
		return message.getPartsList().stream().map(SuspectPartCodec::part).toList();
	}

	private static SuspectPart part(SuspectPartRow row) {
		if (row.getPart().length() > PartKey.MAX_ID_LENGTH || row.getCrashes() < 0 || row.getEpoch() < 0
				|| row.getAgeMillis() < 0) {
			throw new IllegalArgumentException("a prompt part with an id of over " + PartKey.MAX_ID_LENGTH
					+ " characters, or with counts out of range");
		}
		return new SuspectPart(new PartKey(new ServiceName(row.getService()), row.getPart()), row.getEpoch(),
				row.getCrashes(), new TreeSet<>(row.getCrashIdsList()), row.getAgeMillis());
	}

}
