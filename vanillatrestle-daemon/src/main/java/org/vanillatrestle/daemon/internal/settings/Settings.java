package org.vanillatrestle.daemon.internal.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * The settings of a daemon.
 * <p>
 * Immutable and thread safe. The daemon's own VM is one of {@link #vms()}.
 */
public final class Settings {

	private final VmSettings self;

	private final List<VmSettings> vms;

	private final Path dataFolder;

	private final List<OperatorSettings> operators;

	private final String targetSecretSha256;

	private final HttpLimits httpLimits;

	private final TlsFiles peerTls;

	private final boolean advertisePeerAddress;

	private final LogFormat logFormat;

	private final String logLevel;

	private final long targetTtlMillis;

	private final long shutdownGraceMillis;

	private final long transferPriceMicrosPerMegabyte;

	private Settings(Builder builder) {
		this.self = builder.self;
		this.vms = List.copyOf(builder.vms);
		this.dataFolder = builder.dataFolder;
		this.operators = List.copyOf(builder.operators);
		this.targetSecretSha256 = builder.targetSecretSha256;
		this.httpLimits = builder.httpLimits;
		this.peerTls = builder.peerTls;
		this.advertisePeerAddress = builder.advertisePeerAddress;
		this.logFormat = builder.logFormat;
		this.logLevel = builder.logLevel;
		this.targetTtlMillis = builder.targetTtlMillis;
		this.shutdownGraceMillis = builder.shutdownGraceMillis;
		this.transferPriceMicrosPerMegabyte = builder.transferPriceMicrosPerMegabyte;
	}

	/**
	 * Creates a builder with default values.
	 * @param self the daemon's own VM
	 * @param vms all known VMs, including the daemon's own
	 * @return the builder
	 */
	public static Builder builder(VmSettings self, List<VmSettings> vms) {
		return new Builder(self, vms);
	}

	public VmSettings self() {
		return this.self;
	}

	public List<VmSettings> vms() {
		return this.vms;
	}

	/**
	 * Finds the settings of a VM by its id.
	 * @param vm the id of the VM
	 * @return its settings, or empty if the VM is not listed
	 */
	public Optional<VmSettings> findVm(VmId vm) {
		return this.vms.stream().filter((candidate) -> candidate.id().equals(vm)).findFirst();
	}

	/**
	 * Lists the VMs that have a role.
	 * @param role the role
	 * @return the VMs in the order of the settings
	 */
	public List<VmSettings> vmsWithRole(Role role) {
		return this.vms.stream().filter((candidate) -> candidate.hasRole(role)).toList();
	}

	/**
	 * Lists the VMs that store a replica of a data centre's once ledger.
	 * @param dataCentre the data centre
	 * @return the VMs in the order of the settings
	 */
	public List<VmSettings> ledgerReplicas(DataCentreId dataCentre) {
		return vmsWithRole(Role.LEDGER).stream().filter((vm) -> vm.dataCentre().equals(dataCentre)).toList();
	}

	/**
	 * Lists the data centres of a region that have a once ledger.
	 * @param region the region
	 * @return the data centres, sorted
	 */
	public List<DataCentreId> ledgerDataCentres(RegionId region) {
		return vmsWithRole(Role.LEDGER).stream()
			.filter((vm) -> vm.region().equals(region))
			.map(VmSettings::dataCentre)
			.distinct()
			.sorted()
			.toList();
	}

	public Optional<Path> dataFolder() {
		return Optional.ofNullable(this.dataFolder);
	}

	public List<OperatorSettings> operators() {
		return this.operators;
	}

	/**
	 * Returns the SHA-256 of the secret that targets must send with announcements.
	 * @return the hash in hexadecimal digits, or empty if no secret is required
	 */
	public Optional<String> targetSecretSha256() {
		return Optional.ofNullable(this.targetSecretSha256);
	}

	public HttpLimits httpLimits() {
		return this.httpLimits;
	}

	public Optional<TlsFiles> peerTls() {
		return Optional.ofNullable(this.peerTls);
	}

	/**
	 * Returns whether this VM advertises its peer address to other VMs. If not, they
	 * reach it at the address in their own settings, for example through a relay.
	 * @return whether to advertise the address
	 */
	public boolean advertisePeerAddress() {
		return this.advertisePeerAddress;
	}

	public LogFormat logFormat() {
		return this.logFormat;
	}

	public String logLevel() {
		return this.logLevel;
	}

	public long targetTtlMillis() {
		return this.targetTtlMillis;
	}

	public long shutdownGraceMillis() {
		return this.shutdownGraceMillis;
	}

	/**
	 * Returns the price of transferring one megabyte between regions.
	 * @return the price in millionths of the currency unit
	 */
	public long transferPriceMicrosPerMegabyte() {
		return this.transferPriceMicrosPerMegabyte;
	}

	/**
	 * Builds settings. Not thread safe.
	 */
	public static final class Builder {

		private final VmSettings self;

		private final List<VmSettings> vms;

		private Path dataFolder;

		private List<OperatorSettings> operators = List.of();

		private String targetSecretSha256;

		private HttpLimits httpLimits = HttpLimits.DEFAULT;

		private TlsFiles peerTls;

		private boolean advertisePeerAddress = true;

		private LogFormat logFormat = LogFormat.TEXT;

		private String logLevel = "INFO";

		private long targetTtlMillis = 4_000;

		private long shutdownGraceMillis = 30_000;

		private long transferPriceMicrosPerMegabyte;

		private Builder(VmSettings self, List<VmSettings> vms) {
			this.self = self;
			this.vms = vms;
		}

		public Builder dataFolder(Path dataFolder) {
			this.dataFolder = dataFolder;
			return this;
		}

		public Builder operators(List<OperatorSettings> operators) {
			this.operators = operators;
			return this;
		}

		public Builder targetSecretSha256(String targetSecretSha256) {
			this.targetSecretSha256 = targetSecretSha256;
			return this;
		}

		public Builder httpLimits(HttpLimits httpLimits) {
			this.httpLimits = httpLimits;
			return this;
		}

		public Builder peerTls(TlsFiles peerTls) {
			this.peerTls = peerTls;
			return this;
		}

		public Builder advertisePeerAddress(boolean advertisePeerAddress) {
			this.advertisePeerAddress = advertisePeerAddress;
			return this;
		}

		public Builder logFormat(LogFormat logFormat) {
			this.logFormat = logFormat;
			return this;
		}

		public Builder logLevel(String logLevel) {
			this.logLevel = logLevel;
			return this;
		}

		public Builder targetTtlMillis(long targetTtlMillis) {
			this.targetTtlMillis = targetTtlMillis;
			return this;
		}

		public Builder shutdownGraceMillis(long shutdownGraceMillis) {
			this.shutdownGraceMillis = shutdownGraceMillis;
			return this;
		}

		public Builder transferPriceMicrosPerMegabyte(long transferPriceMicrosPerMegabyte) {
			this.transferPriceMicrosPerMegabyte = transferPriceMicrosPerMegabyte;
			return this;
		}

		public Settings build() {
			return new Settings(this);
		}

	}

}
