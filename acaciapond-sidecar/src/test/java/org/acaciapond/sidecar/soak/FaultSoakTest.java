package org.acaciapond.sidecar.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against broken promises under overlapping faults: orders that run twice or after they were
 * refused, answers of other requests, work for targets that left, nodes that never serve again.
 *
 * <p>More seeds by hand: {@code mvn -B -pl acaciapond-sidecar -am test -Dtest=FaultSoakTest
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
  void promisesHoldUnderFaults(long seed, @TempDir Path directory) throws Exception {
    try (SoakRun run = new SoakRun(seed, directory)) {
      run.awaitServing();
      run.strike(Duration.ofSeconds(Integer.getInteger("acaciapond.soak.seconds", 6)));
      run.awaitServing();
      run.check();
    }
  }
}
