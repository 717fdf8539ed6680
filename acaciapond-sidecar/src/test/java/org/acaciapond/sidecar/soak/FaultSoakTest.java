package org.acaciapond.sidecar.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against violations of the mesh's guarantees under overlapping faults: non-idempotent
 * requests that run twice or although they were refused, responses to other requests, calls to
 * deregistered targets, also after all nodes were killed, and nodes that never serve again.
 *
 * <p>To run more seeds: {@code mvn -B -pl acaciapond-sidecar -am test -Dtest=FaultSoakTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dacaciapond.soak.from=1 -Dacaciapond.soak.to=50
 * -Dacaciapond.soak.seconds=12}.
 */
class FaultSoakTest {

  static LongStream seeds() {
    return LongStream.rangeClosed(
        Long.getLong("acaciapond.soak.from", 1), Long.getLong("acaciapond.soak.to", 2));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void guaranteesHoldUnderFaults(long seed, @TempDir Path directory) throws Exception {
    try (SoakRun run = new SoakRun(seed, directory)) {
      run.awaitServing();
      run.injectFaults(Duration.ofSeconds(Integer.getInteger("acaciapond.soak.seconds", 6)));
      run.killAllNodesAfterDeregistration();
      run.awaitServing();
      run.checkGuarantees();
    }
  }
}
