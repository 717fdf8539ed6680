package org.acaciapond.bench.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the reading of case files and the report. */
class RolloutBenchTest {

  private static final String SMALLEST =
      """
      {"by_s": 120, "nodes": 6, "calls_per_s": 300, "targets": 9,
       "old": {"latency_ms_p50": 10, "latency_ms_p99": 40, "error_share": 0.001},
       "faults": null}
      """;

  /** Guards against refusing a case without optional fields or reading it as bad. */
  @Test
  void absentFieldsMeanNone() throws IOException {
    RolloutCase test = parse(SMALLEST);
    assertTrue(test.good() && test.faults().isEmpty() && test.sharedFaults().isEmpty());
    assertEquals(test.oldBehavior(), test.newBehavior());
    assertEquals(List.of(new RolloutCase.Route("/", 1)), test.routes());
  }

  /** Guards against the list of faults overriding an explicit field "good". */
  @Test
  void goodIsInferredOnlyWhenAbsent() throws IOException {
    String fault = "\"faults\": [{\"kind\": \"error\", \"size\": 0.1, \"route\": null}]";
    String bad = SMALLEST.replace("\"faults\": null", fault);
    assertFalse(parse(bad).good());
    assertTrue(parse(bad.replace("\"by_s\"", "\"good\": true, \"by_s\"")).good());
  }

  /** Guards against misreading a field "targets" that is an object, a list or missing. */
  @Test
  void targetsMayBeObjectOrList() throws IOException {
    assertEquals(7, parse(SMALLEST.replace("9,", "{\"slots\": 7},")).targets());
    assertEquals(2, parse(SMALLEST.replace("9,", "[\"a\", \"b\"],")).targets());
    String missing = SMALLEST.replace("\"targets\": 9,", "");
    assertThrows(IOException.class, () -> parse(missing));
  }

  /** Guards against results that depend on thread scheduling and against missing fields. */
  @Test
  void sameSeedGivesSameReport() {
    List<RolloutCase> cases = RandomCases.generate(4, 5);
    RolloutReport report = new RolloutReport();
    JsonNode first = report.json(RolloutCommand.runAll(cases, Policy.STANDARD, 9, 3));
    JsonNode second = report.json(RolloutCommand.runAll(cases, Policy.STANDARD, 9, 3));
    assertEquals(first, second);
    for (String field :
        List.of(
            "good_completed_on_time_share",
            "bad_taken_back_share",
            "bad_traffic_share_max",
            "bad_calls_after_fault_shows_share",
            "detection_ms_p50",
            "detection_ms_p99",
            "cases")) {
      assertTrue(first.has(field), field);
    }
  }

  private static RolloutCase parse(String json) throws IOException {
    return CaseFile.parse(new ObjectMapper().readTree(json), 0);
  }
}
