package org.vanillatrestle.bench.internal.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.SettingsReader;
import org.vanillatrestle.daemon.internal.settings.VmSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the files under {@code examples}.
 */
class ExamplesTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	@ParameterizedTest
	@CsvSource({ "dossieria, 7", "himdugdha, 8" })
	void shouldHaveTheSizesOfTheCustomer(String customer, int vmCount) throws Exception {
		List<Settings> all = settings(EXAMPLES.resolve(customer).resolve("settings"));
		assertThat(all).hasSize(vmCount).map(Settings::vms).containsOnly(all.get(0).vms());
		assertThat(all).map((settings) -> settings.self().id()).doesNotHaveDuplicates();
		List<VmSettings> vms = all.get(0).vms();
		assertThat(vms).hasSize(vmCount).allMatch((vm) -> vm.hasRole(Role.ENTRY));
		assertThat(all.get(0).vmsWithRole(Role.CONTROL)).hasSize(3);
		assertThat(vms.stream().map(VmSettings::dataCentre).distinct()).hasSize(3)
			.allSatisfy((dataCentre) -> assertThat(all.get(0).ledgerReplicas(dataCentre)).isNotEmpty());
	}

	@ParameterizedTest
	@CsvSource({ "dossieria", "himdugdha" })
	void shouldAllowTheRegionsOfTheSettings(String customer) throws Exception {
		Contract contract = Contracts
			.parse(Files.readString(EXAMPLES.resolve(customer).resolve("contracts").resolve(customer + ".json")));
		Set<RegionId> regions = settings(EXAMPLES.resolve(customer).resolve("settings")).get(0)
			.vms()
			.stream()
			.map(VmSettings::region)
			.collect(Collectors.toSet());
		assertThat(contract.customer().value()).isEqualTo(customer);
		assertThat(contract.allowedRegions()).isEqualTo(regions);
	}

	private static List<Settings> settings(Path folder) throws IOException, InvalidDocumentException {
		List<Path> files;
		try (Stream<Path> entries = Files.list(folder)) {
			files = entries.sorted().toList();
		}
		List<Settings> settings = new ArrayList<>();
		for (Path file : files) {
			settings.add(SettingsReader.readFile(file));
		}
		return settings;
	}

}
