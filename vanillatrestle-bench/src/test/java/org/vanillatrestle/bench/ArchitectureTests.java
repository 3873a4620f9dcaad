package org.vanillatrestle.bench;

import java.time.Instant;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/**
 * The rules between modules and for {@code internal} packages.
 */
@AnalyzeClasses(packages = "org.vanillatrestle", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTests {

	private static final String[] CORE = { "org.vanillatrestle", "org.vanillatrestle.internal.." };

	@ArchTest
	void shouldKeepCoreFreeOfOtherModules(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(CORE)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.vanillatrestle.wire..", "org.vanillatrestle.daemon..",
					"org.vanillatrestle.bench..", "io.netty..")
			.check(classes);
	}

	@ArchTest
	void shouldKeepSocketsAndThreadsOutOfCore(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(CORE)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.nio.channels..")
			.orShould()
			.dependOnClassesThat()
			.areAssignableTo(Thread.class)
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching("java\\.util\\.concurrent\\.(Executor|Scheduled|CompletableFuture).*")
			.check(classes);
	}

	@ArchTest
	void shouldGiveTheTimeToCore(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(CORE)
			.should()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(Instant.class, "now")
			.check(classes);
	}

	@ArchTest
	void shouldLetWireKnowOnlyCore(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.vanillatrestle.wire..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.vanillatrestle.daemon..", "org.vanillatrestle.bench..")
			.check(classes);
	}

	@ArchTest
	void shouldKeepBenchOutOfDaemon(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.vanillatrestle.daemon..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.vanillatrestle.bench..")
			.check(classes);
	}

	@ArchTest
	void shouldKeepInternalsOfWireInWire(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackage("org.vanillatrestle.wire..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.vanillatrestle.wire.internal..")
			.check(classes);
	}

	@ArchTest
	void shouldStartNoProcessInDaemon(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.vanillatrestle.daemon..")
			.should()
			.dependOnClassesThat()
			.areAssignableTo(ProcessBuilder.class)
			.orShould()
			.callMethod(Runtime.class, "exec", String.class)
			.check(classes);
	}

}
