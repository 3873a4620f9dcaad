package org.vanillatrestle.internal.policy;

import java.util.Map;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.internal.admission.AdmissionSettings;
import org.vanillatrestle.internal.limits.LimitMembers;
import org.vanillatrestle.internal.limits.LimitSettings;
import org.vanillatrestle.internal.request.LinkSettings;
import org.vanillatrestle.internal.retry.RetrySettings;
import org.vanillatrestle.internal.select.SelectionSettings;
import org.vanillatrestle.internal.sendaway.ForwardingSettings;

/**
 * Settings of the request policy: admission, limits, target selection, forwarding to
 * other data centres and retries.
 * <p>
 * Immutable and thread safe.
 */
public final class PolicySettings {

	private static final LinkSettings DEFAULT_LINK = new LinkSettings(50_000_000, 1_000_000, 0);

	private final AdmissionSettings admission;

	private final LimitSettings limits;

	private final LimitMembers limitMembers;

	private final SelectionSettings selection;

	private final ForwardingSettings forwarding;

	private final RetrySettings retry;

	private final Map<DataCentreId, LinkSettings> links;

	private final long incarnation;

	private PolicySettings(Builder builder) {
		this.admission = builder.admission;
		this.limits = builder.limits;
		this.limitMembers = builder.limitMembers;
		this.selection = builder.selection;
		this.forwarding = builder.forwarding;
		this.retry = builder.retry;
		this.links = Map.copyOf(builder.links);
		this.incarnation = builder.incarnation;
	}

	/**
	 * Returns a builder that is initialised with the default settings.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	public AdmissionSettings admission() {
		return this.admission;
	}

	public LimitSettings limits() {
		return this.limits;
	}

	/**
	 * Returns the VMs that share the contract limits.
	 * @return the VMs, or {@code null} if this VM is the only one in its region
	 */
	public LimitMembers limitMembers() {
		return this.limitMembers;
	}

	public SelectionSettings selection() {
		return this.selection;
	}

	public ForwardingSettings forwarding() {
		return this.forwarding;
	}

	public RetrySettings retry() {
		return this.retry;
	}

	public Map<DataCentreId, LinkSettings> links() {
		return this.links;
	}

	/**
	 * Returns the link settings for data centres that are missing from {@link #links()}.
	 * @return the link settings
	 */
	public LinkSettings defaultLink() {
		return DEFAULT_LINK;
	}

	/**
	 * Returns the VM's incarnation, which increases each time the VM starts.
	 * @return the incarnation
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Builds {@link PolicySettings}. Not thread safe.
	 */
	public static final class Builder {

		private AdmissionSettings admission = AdmissionSettings.DEFAULTS;

		private LimitSettings limits = LimitSettings.DEFAULTS;

		private LimitMembers limitMembers;

		private SelectionSettings selection = SelectionSettings.DEFAULTS;

		private ForwardingSettings forwarding = ForwardingSettings.DEFAULTS;

		private RetrySettings retry = RetrySettings.DEFAULTS;

		private Map<DataCentreId, LinkSettings> links = Map.of();

		private long incarnation = 1;

		private Builder() {
		}

		public Builder admission(AdmissionSettings admission) {
			this.admission = admission;
			return this;
		}

		public Builder limits(LimitSettings limits) {
			this.limits = limits;
			return this;
		}

		public Builder limitMembers(LimitMembers limitMembers) {
			this.limitMembers = limitMembers;
			return this;
		}

		public Builder selection(SelectionSettings select) {
			this.selection = select;
			return this;
		}

		public Builder forwarding(ForwardingSettings forwarding) {
			this.forwarding = forwarding;
			return this;
		}

		public Builder retry(RetrySettings retry) {
			this.retry = retry;
			return this;
		}

		public Builder links(Map<DataCentreId, LinkSettings> links) {
			this.links = links;
			return this;
		}

		public Builder incarnation(long incarnation) {
			this.incarnation = incarnation;
			return this;
		}

		public PolicySettings build() {
			return new PolicySettings(this);
		}

	}

}
