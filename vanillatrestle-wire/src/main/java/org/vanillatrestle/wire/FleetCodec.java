package org.vanillatrestle.wire;

import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.RequestLimit;
import org.vanillatrestle.internal.fleet.ServiceWait;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.wire.generated.fleet.ControlBeat;
import org.vanillatrestle.wire.generated.fleet.EntryBeat;
import org.vanillatrestle.wire.generated.fleet.EntryLoads;
import org.vanillatrestle.wire.generated.fleet.EntryRow;
import org.vanillatrestle.wire.generated.fleet.FleetMessage;
import org.vanillatrestle.wire.generated.fleet.FlightLoadRow;
import org.vanillatrestle.wire.generated.fleet.RegionLoads;
import org.vanillatrestle.wire.generated.fleet.ServiceWaitRow;
import org.vanillatrestle.wire.generated.fleet.TargetConditionCode;
import org.vanillatrestle.wire.generated.fleet.TargetReportRow;
import org.vanillatrestle.wire.generated.fleet.TargetReports;

/**
 * The bytes of {@link FleetNews}.
 * <p>
 * Stateless and thread safe.
 */
public final class FleetCodec {

	private FleetCodec() {
	}

	/**
	 * Writes news.
	 * @param news the news
	 * @return the bytes
	 */
	public static byte[] encode(FleetNews news) {
		FleetMessage.Builder message = FleetMessage.newBuilder();
		if (news instanceof FleetNews.EntryBeat beat) {
			message.setEntryBeat(EntryBeat.newBuilder()
				.setEntry(row(beat.entry()))
				.setDeclaredIndex(beat.declaredIndex())
				.setRank(beat.rank()));
		}
		else if (news instanceof FleetNews.EntryLoads told) {
			EntryLoads.Builder row = EntryLoads.newBuilder().setFollows(told.follows()).setUrgent(told.urgent());
			told.loads().forEach((load) -> row.addLoads(row(load)));
			message.setEntryLoads(row);
		}
		else if (news instanceof FleetNews.RegionLoads told) {
			RegionLoads.Builder row = RegionLoads.newBuilder();
			told.loads().forEach((load) -> row.addLoads(row(load)));
			message.setRegionLoads(row);
		}
		else if (news instanceof FleetNews.ControlBeat beat) {
			ControlBeat.Builder row = ControlBeat.newBuilder()
				.setDeclaredIndex(beat.declaredIndex())
				.addAllControlAddresses(beat.controlAddresses());
			beat.entries().forEach((entry) -> row.addEntries(row(entry)));
			message.setControlBeat(row);
		}
		else if (news instanceof FleetNews.Targets targets) {
			TargetReports.Builder reports = TargetReports.newBuilder();
			targets.reports().forEach((report) -> reports.addReports(row(report)));
			message.setTargetReports(reports);
		}
		else if (news instanceof FleetNews.Suspects suspects) {
			message.setSuspectParts(SuspectPartCodec.message(suspects.parts()));
		}
		else if (news instanceof FleetNews.Declared declared) {
			message.setDeclaredState(DeclarationCodec.message(declared.state()));
		}
		return message.build().toByteArray();
	}

	/**
	 * Reads news.
	 * @param bytes the bytes
	 * @return the news
	 * @throws MalformedMessageException if the bytes are no news
	 */
	public static FleetNews decode(byte[] bytes) throws MalformedMessageException {
		try {
			FleetMessage message = FleetMessage.parseFrom(bytes);
			return switch (message.getMessageCase()) {
				case ENTRY_BEAT -> new FleetNews.EntryBeat(report(message.getEntryBeat().getEntry()),
						message.getEntryBeat().getDeclaredIndex(), message.getEntryBeat().getRank());
				case ENTRY_LOADS -> new FleetNews.EntryLoads(loads(message.getEntryLoads().getLoadsList()),
						message.getEntryLoads().getFollows(), message.getEntryLoads().getUrgent());
				case REGION_LOADS -> new FleetNews.RegionLoads(loads(message.getRegionLoads().getLoadsList()));
				case CONTROL_BEAT -> controlBeat(message.getControlBeat());
				case TARGET_REPORTS -> new FleetNews.Targets(
						message.getTargetReports().getReportsList().stream().map(FleetCodec::report).toList());
				case SUSPECT_PARTS -> new FleetNews.Suspects(SuspectPartCodec.parts(message.getSuspectParts()));
				case DECLARED_STATE -> new FleetNews.Declared(DeclarationCodec.state(message.getDeclaredState()));
				default -> throw new IllegalArgumentException("a message of another version");
			};
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new MalformedMessageException(ex.getMessage(), ex);
		}
	}

	private static FleetNews.ControlBeat controlBeat(ControlBeat beat) {
		return new FleetNews.ControlBeat(beat.getDeclaredIndex(), beat.getControlAddressesList(),
				beat.getEntriesList().stream().map(FleetCodec::report).toList());
	}

	private static EntryRow row(EntryReport entry) {
		EntryRow.Builder row = EntryRow.newBuilder()
			.setVm(entry.vm().value())
			.setRegion(entry.region().value())
			.setDataCentre(entry.dataCentre().value())
			.setFrontAddress(entry.frontAddress())
			.setForwardAddress(entry.forwardAddress())
			.setReady(entry.ready());
		entry.waits()
			.forEach((wait) -> row.addWaits(ServiceWaitRow.newBuilder()
				.setService(wait.service().value())
				.setWaitMillis(wait.waitMillis())
				.setReadingPercent(wait.promptProcessingPercent())));
		return row.build();
	}

	private static FlightLoadRow row(InFlightLoad load) {
		return FlightLoadRow.newBuilder()
			.setTarget(load.target().value())
			.setRequests(load.requests())
			.setUnreadTokens(load.unreadTokens())
			.setHeldTokens(load.cacheTokens())
			.setReadTokensPerSecond(load.promptTokensPerSecond())
			.setLongestPauseMillis(load.longestPauseMillis())
			.build();
	}

	private static List<InFlightLoad> loads(List<FlightLoadRow> rows) {
		return rows.stream()
			.map((row) -> new InFlightLoad(new TargetId(row.getTarget()), row.getRequests(), row.getUnreadTokens(),
					row.getHeldTokens(), row.getReadTokensPerSecond(), row.getLongestPauseMillis()))
			.toList();
	}

	private static EntryReport report(EntryRow row) {
		return new EntryReport(new VmId(row.getVm()), new RegionId(row.getRegion()),
				new DataCentreId(row.getDataCentre()), row.getFrontAddress(), row.getForwardAddress(), row.getReady(),
				row.getWaitsList()
					.stream()
					.map((wait) -> new ServiceWait(new ServiceName(wait.getService()), wait.getWaitMillis(),
							wait.getReadingPercent()))
					.toList());
	}

	private static TargetReportRow row(TargetReport report) {
		return TargetReportRow.newBuilder()
			.setTarget(report.target().value())
			.setBornMillis(report.startedMillis())
			.setSequence(report.sequence())
			.setService(report.service().value())
			.setHost(report.address().host())
			.setPort(report.address().port())
			.setDataCentre(report.dataCentre().value())
			.setSlots(report.slots())
			.setCondition(code(report.condition()))
			.setColdLeftMillis(report.warmUpRemainingMillis())
			.setLimitRevision(report.limit().revision())
			.setLimitPerSecond((report.limit().revision() != 0) ? report.limit().requestsPerSecond() : 0)
			.build();
	}

	private static TargetReport report(TargetReportRow row) {
		return new TargetReport(new TargetId(row.getTarget()), row.getBornMillis(), row.getSequence(),
				new ServiceName(row.getService()), new TargetAddress(row.getHost(), row.getPort()),
				new DataCentreId(row.getDataCentre()), row.getSlots(), condition(row.getCondition()),
				row.getColdLeftMillis(), limit(row));
	}

	private static RequestLimit limit(TargetReportRow row) {
		return (row.getLimitRevision() != 0) ? new RequestLimit(row.getLimitRevision(), row.getLimitPerSecond())
				: RequestLimit.NONE;
	}

	private static TargetConditionCode code(TargetCondition condition) {
		return switch (condition) {
			case READY -> TargetConditionCode.READY;
			case DRAINING -> TargetConditionCode.DRAINING;
			case GONE -> TargetConditionCode.GONE;
		};
	}

	private static TargetCondition condition(TargetConditionCode code) {
		return switch (code) {
			case READY -> TargetCondition.READY;
			case DRAINING -> TargetCondition.DRAINING;
			case GONE -> TargetCondition.GONE;
			default -> throw new IllegalArgumentException("a target's condition of another version");
		};
	}

}
