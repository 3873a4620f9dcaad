package org.vanillatrestle.daemon.internal.cli;

import java.net.URI;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ServerAddressesTests {

	@Test
	void shouldParseAddressesWithAndWithoutScheme() throws CommandException {
		assertThat(ServerAddresses.parseAll("127.0.1.1:8080, http://127.0.1.4:8081"))
			.containsExactly(URI.create("http://127.0.1.1:8080"), URI.create("http://127.0.1.4:8081"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "127.0.1.1", "ftp://127.0.1.1:8080", "http://", ":8080", "a b:8080" })
	void shouldRejectInvalidAddresses(String server) {
		assertThatThrownBy(() -> ServerAddresses.parse(server)).isInstanceOf(CommandException.class)
			.hasMessageContaining("127.0.1.1:8080");
	}

}
