package org.vanillatrestle.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DrainWindowTests {

	private static final long UNCONDITIONAL_MILLIS = 2_500;

	private static final long END_MILLIS = 7_300;

	private final DrainWindow window = new DrainWindow(UNCONDITIONAL_MILLIS, END_MILLIS);

	// Guards against a forwarded stream that is cut because the VM that accepts it, just
	// after its shutdown has begun, ends before it.
	@Test
	void shouldNotAcceptAForwardedRequestThatMayOutlastTheVm() {
		DrainWindow forwarded = this.window.forForwardedRequests();
		assertThat(forwarded.accepts(0, END_MILLIS + 1)).isFalse();
		assertThat(forwarded.accepts(170, 9_000)).isFalse();
		assertThat(forwarded.accepts(170, -1)).isFalse();
		assertThat(forwarded.accepts(170, END_MILLIS - 170)).isTrue();
		assertThat(this.window.accepts(170, 9_000)).isTrue();
	}

}
