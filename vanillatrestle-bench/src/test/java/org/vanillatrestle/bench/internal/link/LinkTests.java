package org.vanillatrestle.bench.internal.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.LoadGenerator;
import org.vanillatrestle.bench.internal.load.LoadResult;
import org.vanillatrestle.bench.internal.load.LoadShape;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Link}.
 */
class LinkTests {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private StandInTarget service;

	private Link link;

	@BeforeEach
	void openLink() throws IOException {
		this.service = StandInService.start(ServiceSettings.fast("l1", "koshi-1", "ledger", "", List.of()));
		this.link = Link.open(this.group.next(), new InetSocketAddress("127.0.0.1", 0),
				new InetSocketAddress("127.0.0.1", this.service.port()), 1);
	}

	@AfterEach
	void closeLink() {
		this.link.close();
		this.service.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	@Test
	void shouldPassBytesBothWays() throws Exception {
		LoadResult result = run();
		assertThat(result.count(AnswerKind.WHOLE)).isEqualTo(this.service.runs().size()).isPositive();
		assertThat(result.total().getMinValue()).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(2));
	}

	@Test
	void shouldPassNoByteWhileCut() throws Exception {
		this.link.cut(true);
		CompletableFuture.delayedExecutor(700, TimeUnit.MILLISECONDS).execute(() -> this.link.cut(false));
		LoadResult result = run();
		assertThat(result.count(AnswerKind.WHOLE)).isZero();
		assertThat(result.count(AnswerKind.BROKEN)).isPositive();
		assertThat(this.service.runs()).isEmpty();
		assertThat(run().count(AnswerKind.WHOLE)).isPositive();
	}

	private LoadResult run() throws InterruptedException {
		return LoadGenerator.run(List.of(this.link.address()), RequestTemplate.of(RequestKind.BALANCE, "ledger", 0, ""),
				new LoadShape(100, 0, 200, 100, 3), 1);
	}

}
