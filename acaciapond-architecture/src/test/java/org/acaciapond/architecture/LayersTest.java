package org.acaciapond.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import org.acaciapond.common.error.AcaciapondException;

/**
 * Guards against dependencies between layers that must be independent, and against decision logic
 * that uses the network, the system clock or a random source of its own.
 */
@AnalyzeClasses(packages = "org.acaciapond", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {

  private static final String[] DECISION_PACKAGES = {
    "org.acaciapond.config..",
    "org.acaciapond.membership..",
    "org.acaciapond.distribution..",
    "org.acaciapond.routing..",
    "org.acaciapond.rollout..",
    "org.acaciapond.mesh.route..",
    "org.acaciapond.mesh.target..",
    "org.acaciapond.mesh.admission..",
    "org.acaciapond.mesh.retry..",
    "org.acaciapond.mesh.limit..",
    "org.acaciapond.mesh.rollout..",
    "org.acaciapond.mesh.call..",
    "org.acaciapond.mesh.explain..",
    "org.acaciapond.mesh.peer.."
  };

  @ArchTest
  static final ArchRule decisionLogicDoesNotDependOnNetworkLibraries =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..", "io.smallrye.mutiny..");

  @ArchTest
  static final ArchRule decisionLogicReadsNoSystemClock =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Instant.class, "now")
          .orShould()
          .callMethod(Clock.class, "systemUTC");

  @ArchTest
  static final ArchRule decisionLogicCreatesNoRandomSource =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .callMethod(ThreadLocalRandom.class, "current")
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .callConstructor(Random.class);

  @ArchTest
  static final ArchRule decisionLogicDoesNotDependOnOuterLayers =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.acaciapond.protocol..",
              "org.acaciapond.platform..",
              "org.acaciapond.adapter..",
              "org.acaciapond.http..",
              "org.acaciapond.sidecar..",
              "org.acaciapond.node..",
              "org.acaciapond.cli..",
              "org.acaciapond.bench..");

  @ArchTest
  static final ArchRule nodeDoesNotDependOnTools =
      noClasses()
          .that()
          .resideInAPackage("org.acaciapond.node..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.acaciapond.cli..", "org.acaciapond.bench..");

  @ArchTest
  static final ArchRule onlyTheEntryPointDependsOnTheAdapter =
      noClasses()
          .that()
          .resideOutsideOfPackages("org.acaciapond.adapter..", "org.acaciapond.standin..")
          .and()
          .doNotHaveFullyQualifiedName("org.acaciapond.sidecar.SidecarMain")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.acaciapond.adapter..", "org.acaciapond.standin..");

  @ArchTest
  static final ArchRule adapterDoesNotDependOnDecisionLogic =
      noClasses()
          .that()
          .resideInAPackage("org.acaciapond.adapter..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.acaciapond.mesh.admission..",
              "org.acaciapond.mesh.retry..",
              "org.acaciapond.mesh.limit..",
              "org.acaciapond.rollout..",
              "org.acaciapond.sidecar..");

  @ArchTest
  static final ArchRule membershipDoesNotDependOnConfiguration =
      noClasses()
          .that()
          .resideInAPackage("org.acaciapond.membership..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.acaciapond.config..",
              "org.acaciapond.distribution..",
              "org.acaciapond.routing..",
              "org.acaciapond.rollout..");

  @ArchTest
  static final ArchRule modulesHaveNoCycles =
      slices().matching("org.acaciapond.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule exceptionsHaveErrorCodes =
      classes()
          .that()
          .areAssignableTo(RuntimeException.class)
          .should()
          .beAssignableTo(AcaciapondException.class);

  @ArchTest
  static final ArchRule noMutableStaticState =
      fields()
          .that()
          .areStatic()
          .and()
          .doNotHaveModifier(JavaModifier.SYNTHETIC)
          .should()
          .beFinal();

  @ArchTest
  static final ArchRule codeStartsNoProcesses =
      noClasses()
          .should()
          .dependOnClassesThat()
          .belongToAnyOf(ProcessBuilder.class)
          .orShould()
          .callMethod(Runtime.class, "exec", String.class);
}
