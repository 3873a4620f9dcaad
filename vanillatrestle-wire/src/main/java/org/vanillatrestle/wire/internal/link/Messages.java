package org.vanillatrestle.wire.internal.link;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.RequestId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.Header;
import org.vanillatrestle.wire.OnceInfo;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.Usage;
import org.vanillatrestle.wire.generated.peer.ForwardRequest;
import org.vanillatrestle.wire.generated.peer.Hello;
import org.vanillatrestle.wire.generated.peer.Repeat;
import org.vanillatrestle.wire.generated.peer.StreamKey;
import org.vanillatrestle.wire.generated.peer.Verdict;

/**
 * Converts between the link's messages and the types of the API.
 * <p>
 * Stateless and thread safe. Content that breaks the rules of a type raises
 * {@link IllegalArgumentException}.
 */
final class Messages {

	private static final int REQUEST_ID_BYTES = 16;

	private Messages() {
	}

	static Hello hello(PeerIdentity self, int version, long appliedIndex, int windowBytes) {
		return Hello.newBuilder()
			.setProtocolVersion(version)
			.setVm(self.vm().value())
			.setDataCentre(self.dataCentre().value())
			.setRegion(self.region().value())
			.setIncarnation(self.incarnation())
			.setAddress(self.address())
			.setAppliedIndex(appliedIndex)
			.setStreamWindowBytes(windowBytes)
			.build();
	}

	static PeerIdentity identity(Hello hello) {
		return new PeerIdentity(new VmId(hello.getVm()), new DataCentreId(hello.getDataCentre()),
				new RegionId(hello.getRegion()), hello.getIncarnation(), hello.getAddress());
	}

	static StreamKey key(long streamId, RequestId requestId, int attempt) {
		ByteBuffer bytes = ByteBuffer.allocate(REQUEST_ID_BYTES);
		bytes.putLong(Long.parseUnsignedLong(requestId.value(), 0, 16, 16));
		bytes.putLong(Long.parseUnsignedLong(requestId.value(), 16, 32, 16));
		bytes.flip();
		return StreamKey.newBuilder()
			.setStreamId(streamId)
			.setRequestId(UnsafeByteOperations.unsafeWrap(bytes))
			.setAttempt(attempt)
			.build();
	}

	static ForwardRequest request(StreamKey key, ForwardedRequest request) {
		ForwardRequest.Builder builder = ForwardRequest.newBuilder()
			.setKey(key)
			.setAppliedIndex(request.appliedIndex())
			.setCustomer(request.customer().value())
			.setCaller(request.caller().value())
			.setService(request.service().value())
			.setModel(request.model().map(ModelName::value).orElse(""))
			.setMethod(request.method())
			.setPath(request.path())
			.addAllHeaders(headers(request.headers()))
			.setRepeat(repeat(request.repeat()))
			.setDeadlineRemainingMillis(request.deadlineRemainingMillis())
			.setPriority(request.priority());
		request.once().ifPresent((once) -> builder.setOnce(once(once)));
		return builder.build();
	}

	static ForwardedRequest request(ForwardRequest message) {
		Optional<ModelName> model = (message.getModel().isEmpty()) ? Optional.empty()
				: Optional.of(new ModelName(message.getModel()));
		Optional<OnceInfo> once = (message.hasOnce()) ? Optional.of(once(message.getOnce())) : Optional.empty();
		return new ForwardedRequest(requestId(message.getKey()), message.getKey().getAttempt(),
				message.getAppliedIndex(), new CustomerId(message.getCustomer()), new CallerName(message.getCaller()),
				new ServiceName(message.getService()), model, message.getMethod(), message.getPath(),
				headersOf(message.getHeadersList()), repeat(message.getRepeat()), message.getDeadlineRemainingMillis(),
				message.getPriority(), once);
	}

	static RequestId requestId(StreamKey key) {
		ByteString bytes = key.getRequestId();
		if (bytes.size() != REQUEST_ID_BYTES) {
			throw new IllegalArgumentException("A request id on the wire has 16 bytes, not " + bytes.size() + ".");
		}
		ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
		return RequestId.of(buffer.getLong(), buffer.getLong());
	}

	static List<org.vanillatrestle.wire.generated.peer.Header> headers(List<Header> headers) {
		return headers.stream()
			.map((header) -> org.vanillatrestle.wire.generated.peer.Header.newBuilder()
				.setName(header.name())
				.setValue(header.value())
				.build())
			.toList();
	}

	static List<Header> headersOf(List<org.vanillatrestle.wire.generated.peer.Header> headers) {
		return headers.stream().map((header) -> new Header(header.getName(), header.getValue())).toList();
	}

	static Verdict verdict(org.vanillatrestle.Verdict verdict) {
		return switch (verdict) {
			case NOT_RUN -> Verdict.NOT_RUN;
			case MAY_HAVE_RUN -> Verdict.MAY_HAVE_RUN;
			case RAN -> Verdict.RAN;
		};
	}

	/**
	 * Reads the verdict of an answer that is not whole. A holder says "not run" by its
	 * own message, so anything but "ran" counts as "may have run" here.
	 * @param verdict the verdict sent
	 * @return the verdict to believe
	 */
	static org.vanillatrestle.Verdict verdict(Verdict verdict) {
		return (verdict == Verdict.RAN) ? org.vanillatrestle.Verdict.RAN : org.vanillatrestle.Verdict.MAY_HAVE_RUN;
	}

	static org.vanillatrestle.wire.generated.peer.Usage usage(Usage usage) {
		return org.vanillatrestle.wire.generated.peer.Usage.newBuilder()
			.setInputTokens(usage.inputTokens())
			.setOutputTokens(usage.outputTokens())
			.setCostMicros(usage.costMicros())
			.build();
	}

	static Usage usage(org.vanillatrestle.wire.generated.peer.Usage usage) {
		return new Usage(usage.getInputTokens(), usage.getOutputTokens(), usage.getCostMicros());
	}

	private static Repeat repeat(org.vanillatrestle.Repeat repeat) {
		return switch (repeat) {
			case IDEMPOTENT -> Repeat.IDEMPOTENT;
			case AT_MOST_ONCE -> Repeat.AT_MOST_ONCE;
		};
	}

	private static org.vanillatrestle.Repeat repeat(Repeat repeat) {
		return (repeat == Repeat.IDEMPOTENT) ? org.vanillatrestle.Repeat.IDEMPOTENT
				: org.vanillatrestle.Repeat.AT_MOST_ONCE;
	}

	private static org.vanillatrestle.wire.generated.peer.OnceInfo once(OnceInfo once) {
		return org.vanillatrestle.wire.generated.peer.OnceInfo.newBuilder()
			.setKey(once.key())
			.setLedgerDataCentre(once.ledgerDataCentre())
			.setBodyDigest(ByteString.copyFrom(once.bodyDigest()))
			.setClaimAttempt(once.claimAttempt())
			.build();
	}

	private static OnceInfo once(org.vanillatrestle.wire.generated.peer.OnceInfo once) {
		return new OnceInfo(once.getKey(), once.getLedgerDataCentre(), once.getBodyDigest().toByteArray(),
				once.getClaimAttempt());
	}

}
