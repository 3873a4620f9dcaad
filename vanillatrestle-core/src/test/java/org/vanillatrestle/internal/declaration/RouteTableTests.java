package org.vanillatrestle.internal.declaration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTests {

	private final RouteTable table = new RouteTable(Declarations.of(Declarations.route("short", "/a/"),
			Declarations.route("long", "/a/b/"), Declarations.route("other", "/c/")));

	@Test
	void shouldFindTheLongestPrefix() {
		assertThat(this.table.find("a.example", "/a/b/c")).map(DeclaredRoute::name).contains("long");
		assertThat(this.table.find("a.example", "/a/bc")).map(DeclaredRoute::name).contains("short");
	}

	@Test
	void shouldIgnorePortAndCaseOfTheHost() {
		assertThat(this.table.find("A.Example:8080", "/c/x")).map(DeclaredRoute::name).contains("other");
	}

	@Test
	void shouldFindNoRouteForAnotherHostOrPath() {
		assertThat(this.table.find("b.example", "/a/")).isEmpty();
		assertThat(this.table.find("a.example", "/a")).isEmpty();
		assertThat(this.table.find(null, "/a/")).isEmpty();
	}

}
