package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.DataCentreSummary;
import org.vanillatrestle.internal.membership.Gossip;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.MemberStatus;
import org.vanillatrestle.internal.membership.SummaryMessage;
import org.vanillatrestle.wire.PeerException.Reason;
import org.vanillatrestle.wire.generated.membership.Capacity;
import org.vanillatrestle.wire.generated.membership.GossipMessage;
import org.vanillatrestle.wire.generated.membership.Member;
import org.vanillatrestle.wire.generated.membership.Status;
import org.vanillatrestle.wire.generated.membership.Summary;
import org.vanillatrestle.wire.generated.membership.SummaryBatch;

/**
 * The bytes of messages of the membership within and between data centres.
 * <p>
 * Stateless and thread safe. Bytes that are no message, or break a rule of its types,
 * raise a {@link PeerException}.
 */
public final class MembershipCodec {

	private MembershipCodec() {
	}

	/**
	 * Writes a message between VMs of a data centre.
	 * @param gossip the message
	 * @return its bytes
	 */
	public static byte[] encode(Gossip gossip) {
		GossipMessage.Builder message = GossipMessage.newBuilder()
			.setSender(gossip.sender().value())
			.setAnswerWanted(gossip.replyRequested());
		gossip.members().forEach((member) -> message.addMembers(member(member)));
		return message.build().toByteArray();
	}

	/**
	 * Reads a message between VMs of a data centre.
	 * @param bytes its bytes
	 * @return the message
	 * @throws PeerException if the bytes are no such message
	 */
	public static Gossip decodeGossip(byte[] bytes) throws PeerException {
		try {
			GossipMessage message = GossipMessage.parseFrom(bytes);
			List<MemberRecord> members = message.getMembersList().stream().map(MembershipCodec::member).toList();
			return new Gossip(new VmId(message.getSender()), message.getAnswerWanted(), members);
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw malformed("gossip", ex);
		}
	}

	/**
	 * Writes summaries of data centres.
	 * @param message the message
	 * @return its bytes
	 */
	public static byte[] encode(SummaryMessage message) {
		SummaryBatch.Builder batch = SummaryBatch.newBuilder().setFrom(message.from().value());
		message.entries().forEach((entry) -> batch.addSummaries(summary(entry)));
		return batch.build().toByteArray();
	}

	/**
	 * Reads summaries of data centres.
	 * @param bytes their bytes
	 * @return the message
	 * @throws PeerException if the bytes are no such message
	 */
	public static SummaryMessage decodeSummary(byte[] bytes) throws PeerException {
		try {
			SummaryBatch batch = SummaryBatch.parseFrom(bytes);
			List<SummaryMessage.Entry> entries = batch.getSummariesList().stream().map(MembershipCodec::entry).toList();
			return new SummaryMessage(new DataCentreId(batch.getFrom()), entries);
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw malformed("summary", ex);
		}
	}

	static PeerException malformed(String kind, Exception cause) {
		return new PeerException(Reason.PROTOCOL, "The " + kind + " can't be read: " + cause.getMessage());
	}

	private static Member member(MemberRecord member) {
		return Member.newBuilder()
			.setVm(member.vm().value())
			.setAddress(member.address())
			.setRoles(member.roles())
			.setIncarnation(member.incarnation())
			.setHeartbeat(member.heartbeat())
			.setStatus(status(member.status()))
			.setAppliedIndex(member.appliedIndex())
			.build();
	}

	private static MemberRecord member(Member member) {
		return new MemberRecord(new VmId(member.getVm()), member.getAddress(), member.getRoles(),
				member.getIncarnation(), member.getHeartbeat(), status(member.getStatus()), member.getAppliedIndex());
	}

	private static Status status(MemberStatus status) {
		return switch (status) {
			case ALIVE -> Status.ALIVE;
			case SUSPECT -> Status.SUSPECT;
			case DEAD -> Status.DEAD;
			case LEFT -> Status.LEFT;
		};
	}

	private static MemberStatus status(Status status) {
		return switch (status) {
			case ALIVE -> MemberStatus.ALIVE;
			case SUSPECT -> MemberStatus.SUSPECT;
			case DEAD -> MemberStatus.DEAD;
			case LEFT -> MemberStatus.LEFT;
			case UNRECOGNIZED -> throw new IllegalArgumentException("A member's status is not known.");
		};
	}

	private static Summary summary(SummaryMessage.Entry entry) {
		DataCentreSummary summary = entry.summary();
		Capacity.Builder capacity = Capacity.newBuilder();
		for (CapacityRow row : summary.rows()) {
			capacity.addKeys(row.key())
				.addFreeCapacities(row.freeCapacity())
				.addQueueDelaysMillis(row.queueDelayMillis())
				.addPricesMicros(row.priceMicros());
		}
		return Summary.newBuilder()
			.setDataCentre(summary.dataCentre().value())
			.setRegion(summary.region().value())
			.setAppliedIndex(summary.appliedIndex())
			.addAllContacts(summary.contacts())
			.setCapacity(capacity)
			.setAgeMillis(entry.ageMillis())
			.setDirect(entry.direct())
			.build();
	}

	private static SummaryMessage.Entry entry(Summary message) {
		DataCentreSummary summary = new DataCentreSummary(new DataCentreId(message.getDataCentre()),
				new RegionId(message.getRegion()), message.getAppliedIndex(), message.getContactsList(),
				rows(message.getCapacity()));
		if (message.getAgeMillis() < 0) {
			throw new IllegalArgumentException("A summary's age is too high.");
		}
		return new SummaryMessage.Entry(summary, message.getAgeMillis(), message.getDirect());
	}

	private static List<CapacityRow> rows(Capacity capacity) {
		int count = capacity.getKeysCount();
		if (capacity.getFreeCapacitiesCount() != count || capacity.getQueueDelaysMillisCount() != count
				|| capacity.getPricesMicrosCount() != count) {
			throw new IllegalArgumentException("The columns of capacity have different lengths.");
		}
		List<CapacityRow> rows = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			rows.add(new CapacityRow(capacity.getKeys(i), capacity.getFreeCapacities(i),
					capacity.getQueueDelaysMillis(i), capacity.getPricesMicros(i)));
		}
		return rows;
	}

}
