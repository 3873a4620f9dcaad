package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.wire.generated.membership.Target;
import org.vanillatrestle.wire.generated.membership.TargetBatch;
import org.vanillatrestle.wire.generated.membership.TargetLoads;

/**
 * The bytes of announcements that are passed on within a data centre.
 * <p>
 * Stateless and thread safe. Bytes that are no message, or break a rule of its types,
 * raise a {@link PeerException}.
 */
public final class TargetCodec {

	private TargetCodec() {
	}

	/**
	 * Writes announcements.
	 * @param news the announcements
	 * @return their bytes
	 */
	public static byte[] encode(TargetNews news) {
		TargetBatch.Builder batch = TargetBatch.newBuilder();
		news.full().forEach((full) -> batch.addTargets(target(full)));
		if (!news.loads().isEmpty()) {
			batch.setLoads(loads(news.loads()));
		}
		return batch.build().toByteArray();
	}

	/**
	 * Reads announcements.
	 * @param bytes their bytes
	 * @return the announcements
	 * @throws PeerException if the bytes are no such message
	 */
	public static TargetNews decode(byte[] bytes) throws PeerException {
		try {
			TargetBatch batch = TargetBatch.parseFrom(bytes);
			List<TargetNews.Full> full = batch.getTargetsList()
				.stream()
				.map((target) -> new TargetNews.Full(announcement(target), age(target.getAgeMillis())))
				.toList();
			return new TargetNews(full, loads(batch.getLoads()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw MembershipCodec.malformed("announcement", ex);
		}
	}

	private static Target target(TargetNews.Full full) {
		Announcement announcement = full.announcement();
		Target.Builder target = Target.newBuilder()
			.setTarget(announcement.target().value())
			.setDataCentre(announcement.dataCentre().value())
			.setIncarnation(announcement.incarnation())
			.setSequence(announcement.sequence())
			.setKind(announcement.kind().name())
			.setService(announcement.service().value())
			.setHost(announcement.address().host())
			.setPort(announcement.address().port())
			.setMaxRunning(announcement.capacity().maxRunning())
			.setTokensPerSecond(announcement.capacity().tokensPerSecond())
			.setPriceMicrosPerThousandTokens(announcement.capacity().priceMicrosPerThousandTokens())
			.setPriceMicrosPerRequest(announcement.capacity().priceMicrosPerRequest())
			.setRunning(announcement.load().running())
			.setQueued(announcement.load().queued())
			.setCacheUsePercent(announcement.load().cacheUsePercent())
			.setLeaving(announcement.leaving())
			.setResumes(announcement.canResumeStreams())
			.setAgeMillis(full.ageMillis());
		announcement.models().forEach((model) -> target.addModels(model.value()));
		if (announcement.customer() != null) {
			target.setCustomer(announcement.customer().value());
		}
		return target.build();
	}

	private static Announcement announcement(Target target) {
		CustomerId customer = (target.getCustomer().isEmpty()) ? null : new CustomerId(target.getCustomer());
		LinkedHashSet<ModelName> models = new LinkedHashSet<>();
		target.getModelsList().forEach((model) -> models.add(new ModelName(model)));
		TargetCapacity capacity = new TargetCapacity(target.getMaxRunning(), target.getTokensPerSecond(),
				target.getPriceMicrosPerThousandTokens(), target.getPriceMicrosPerRequest());
		TargetLoad load = new TargetLoad(target.getRunning(), target.getQueued(), target.getCacheUsePercent());
		return new Announcement(new TargetId(target.getTarget()), new DataCentreId(target.getDataCentre()),
				target.getIncarnation(), target.getSequence(), ServiceKind.valueOf(target.getKind()), customer,
				new ServiceName(target.getService()), models, new TargetAddress(target.getHost(), target.getPort()),
				capacity, load, target.getLeaving(), target.getResumes());
	}

	private static int age(int ageMillis) {
		if (ageMillis < 0) {
			throw new IllegalArgumentException("An announcement's age is too high.");
		}
		return ageMillis;
	}

	private static TargetLoads loads(List<TargetNews.Load> loads) {
		TargetLoads.Builder columns = TargetLoads.newBuilder();
		for (TargetNews.Load load : loads) {
			columns.addKeys(load.key())
				.addSequences(load.sequence())
				.addRunning(load.load().running())
				.addQueued(load.load().queued())
				.addCacheUsePercents(load.load().cacheUsePercent())
				.addAgesMillis(load.ageMillis());
		}
		return columns.build();
	}

	private static List<TargetNews.Load> loads(TargetLoads columns) {
		int count = columns.getKeysCount();
		if (columns.getSequencesCount() != count || columns.getRunningCount() != count
				|| columns.getQueuedCount() != count || columns.getCacheUsePercentsCount() != count
				|| columns.getAgesMillisCount() != count) {
			throw new IllegalArgumentException("The columns of loads have different lengths.");
		}
		List<TargetNews.Load> loads = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			TargetLoad load = new TargetLoad(columns.getRunning(i), columns.getQueued(i),
					columns.getCacheUsePercents(i));
			loads.add(new TargetNews.Load(columns.getKeys(i), columns.getSequences(i), load,
					age(columns.getAgesMillis(i))));
		}
		return loads;
	}

}
