package org.acaciapond.sidecar.stutter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against responses that are not those of the target to the request, while targets send
 * additional, invalid and incomplete responses on connections that are used again. Faults that no
 * proxy can detect are left out, see {@link ResponseFault#detectable()}.
 *
 * <p>To run more seeds: {@code mvn -B -pl acaciapond-sidecar -am test -Dtest=StutteringTargetTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dacaciapond.stutter.from=1 -Dacaciapond.stutter.to=30
 * -Dacaciapond.stutter.seconds=10}. With {@code -Dacaciapond.stutter.faults=EACH} each fault is
 * played alone, also those that cannot be detected; with names, separated by commas, these faults
 * together; a semicolon separates cases. With {@code -Dacaciapond.stutter.repeatedIds=true} ids of
 * requests are repeated, also of nested requests.
 */
class StutteringTargetTest {

  static Stream<Arguments> cases() {
    List<StutterCase> cases = faultCases(System.getProperty("acaciapond.stutter.faults", "ALL"));
    return LongStream.rangeClosed(
            Long.getLong("acaciapond.stutter.from", 1), Long.getLong("acaciapond.stutter.to", 2))
        .boxed()
        .flatMap(seed -> cases.stream().map(each -> Arguments.of(seed, each)));
  }

  private static List<StutterCase> faultCases(String names) {
    boolean repeatedIds = Boolean.getBoolean("acaciapond.stutter.repeatedIds");
    if (names.equals("ALL")) {
      return List.of(StutterCase.of(List.copyOf(ResponseFault.detectable()), repeatedIds));
    }
    if (names.equals("EACH")) {
      List<StutterCase> cases = new ArrayList<>();
      cases.add(StutterCase.of(List.of(), repeatedIds));
      for (ResponseFault fault : ResponseFault.values()) {
        cases.add(StutterCase.of(List.of(fault), repeatedIds));
      }
      return cases;
    }
    return Arrays.stream(names.split(";"))
        .map(each -> StutterCase.of(faults(each), repeatedIds))
        .toList();
  }

  private static List<ResponseFault> faults(String names) {
    return Arrays.stream(names.split(",")).map(ResponseFault::valueOf).toList();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void responsesBelongToTheirRequests(long seed, StutterCase faults) throws Exception {
    try (StutterRun run = new StutterRun(seed, faults)) {
      run.awaitServing();
      run.sendRequests(Duration.ofSeconds(Integer.getInteger("acaciapond.stutter.seconds", 4)));
      run.checkResponses();
    }
  }
}
