package org.acaciapond.mesh.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.Predicate;
import org.acaciapond.mesh.account.AccountDirectory;
import org.acaciapond.mesh.account.ClientAccount;
import org.acaciapond.mesh.account.KeyDigest;
import org.acaciapond.mesh.account.RateLimit;
import org.acaciapond.mesh.admission.CallRank;
import org.acaciapond.mesh.route.ClientLimits;
import org.acaciapond.mesh.route.DesiredState;
import org.acaciapond.mesh.route.RequestKind;
import org.acaciapond.mesh.route.Route;
import org.acaciapond.mesh.route.RouteTable;
import org.acaciapond.mesh.route.WeightedService;
import org.acaciapond.mesh.target.Candidate;
import org.acaciapond.mesh.target.SelectionCriteria;
import org.acaciapond.mesh.target.TargetChooser;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against explanations that differ from the decision on a request. */
class RequestExplainerTest {

  private static final String KEY = "key-of-acme";
  private static final RateLimit LIMIT = new RateLimit(10, 20);
  private static final SelectionCriteria CRITERIA =
      new SelectionCriteria(1_000, 0, CallRank.ofRequest(2), 400_000, 800_000);

  private final List<Candidate> candidates = new ArrayList<>();
  private int sharePermille;

  /** View of the candidates of the test; "v1" is the current version. */
  private final MeshView mesh =
      new MeshView() {
        @Override
        public List<Candidate> candidates(String service) {
          return candidates;
        }

        @Override
        public Predicate<Candidate> versionFilter(
            String service, List<Candidate> all, double draw) {
          String version = draw * 1_000 < sharePermille ? "v2" : "v1";
          return each -> each.status().version().equals(version);
        }

        @Override
        public int unprovenSharePermille(String service) {
          return sharePermille;
        }

        @Override
        public SelectionCriteria criteria(Route route, ClientAccount account, String service) {
          return CRITERIA;
        }
      };

  private static RouteTable table() {
    List<WeightedService> services = List.of(new WeightedService("s", 1));
    Route needsKey =
        new Route("r1", "h", "/a/", RequestKind.IDEMPOTENT, 800, 400, 2, services, 2, false);
    Route open =
        new Route("r2", "h", "/open/", RequestKind.IDEMPOTENT, 800, 400, 2, services, 2, true);
    ClientAccount account =
        new ClientAccount("acme", List.of(KeyDigest.of(KEY)), OptionalInt.empty(), LIMIT);
    return new RouteTable(
        new DesiredState(
            7,
            List.of(needsKey, open),
            Map.of(),
            ClientLimits.DEFAULT,
            AccountDirectory.of(List.of(account)),
            List.of()));
  }

  private RequestExplanation explain(String host, String path, String key) {
    return new RequestExplainer("n1", "z1", mesh).explain(table(), host, path, key, 0);
  }

  private Candidate add(String node, String domain, String condition) {
    TargetPhase phase = condition.equals("draining") ? TargetPhase.DRAINING : TargetPhase.READY;
    String version = condition.equals("v2") || condition.equals("v3") ? condition : "v1";
    boolean leaving = condition.equals("leaving");
    Candidate candidate =
        new Candidate(
            node, domain, new TargetStatus("i-" + node, 1, "s", version, phase, 2, 0, leaving, 1));
    candidate.setEvacuated(condition.equals("evacuated"));
    if (condition.equals("avoided")) {
      candidate.avoidUntil(1);
    }
    if (condition.equals("full")) {
      candidate.updateLoad(new TargetLoad(2, 40, 40, 60_000, 0), 0);
    }
    candidates.add(candidate);
    return candidate;
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "none",
      value = {
        "h, /a/1?q=2, key-of-acme, ROUTED, r1, acme",
        "other, /a/1, key-of-acme, NO_ROUTE, none, none",
        "h, /b/1, key-of-acme, NO_ROUTE, none, none",
        "h, /a/1, none, UNAUTHORIZED, r1, none",
        "h, /a/1, key-x, UNAUTHORIZED, r1, none",
        "h, /open/1, none, ROUTED, r2, none"
      })
  void routeAndKeyDecide(
      String host, String path, String key, Verdict verdict, String route, String account) {
    add("n1", "z1", "ready");
    RequestExplanation explanation = explain(host, path, key);
    assertEquals(verdict, explanation.verdict());
    assertEquals(7, explanation.stateVersion());
    assertEquals(route, explanation.route() == null ? null : explanation.route().name());
    assertEquals(account, explanation.account());
    assertEquals(account == null ? RateLimit.NONE : LIMIT, explanation.limit());
    assertEquals(verdict == Verdict.ROUTED ? 1 : 0, explanation.services().size());
    assertFalse(explanation.toString().contains(KEY));
  }

  /** Each case: condition of the local target, its state, and the node that gets the request. */
  @ParameterizedTest
  @CsvSource({
    "ready, ELIGIBLE, n1",
    "evacuated, EVACUATED, n2",
    "draining, NOT_READY, n2",
    "leaving, NODE_LEAVING, n2",
    "avoided, AVOIDED, n2",
    "full, LIKELY_REFUSED, n2",
    "v3, OTHER_VERSION, n2"
  })
  void conditionOfTargetIsTheReason(String condition, CandidateState state, String chosen) {
    final Candidate local = add("n1", "z1", condition);
    add("n2", "z2", "ready");
    ServiceExplanation service = explain("h", "/open/1", null).services().get(0);
    assertEquals(chosen, service.chosen().node());
    assertEquals(service.chosen(), service.candidates().get(0));
    CandidateExplanation explained =
        service.candidates().stream()
            .filter(each -> each.node().equals(local.node()))
            .findFirst()
            .orElseThrow();
    assertEquals(state, explained.state());
    TargetChooser chooser = new TargetChooser("n1", "z1", new Random(5)::nextDouble);
    Predicate<Candidate> current = mesh.versionFilter("s", candidates, 1);
    assertEquals(chosen, chooser.choose(candidates, current, CRITERIA, 0).node());
  }

  @Test
  void unprovenVersionIsExplainedForItsShareOnly() {
    add("n1", "z1", "ready");
    add("n2", "z1", "v2");
    assertEquals(null, explain("h", "/open/1", null).services().get(0).chosenForUnproven());
    sharePermille = 50;
    ServiceExplanation service = explain("h", "/open/1", null).services().get(0);
    assertEquals("n1", service.chosen().node());
    assertEquals("n2", service.chosenForUnproven().node());
    assertEquals(0, service.alternatives());
  }

  @Test
  void largeServiceIsListedInPart() {
    for (int i = 0; i < RequestExplainer.MAX_CANDIDATES + 5; i++) {
      add("m" + i, "z2", i == 203 ? "ready" : "draining");
    }
    ServiceExplanation service = explain("h", "/open/1", null).services().get(0);
    assertEquals(RequestExplainer.MAX_CANDIDATES, service.candidates().size());
    assertEquals(5, service.omittedCandidates());
    assertEquals("m203", service.candidates().get(0).node());
  }

  @Test
  void requestThatNoTargetTakesHasNoChoice() {
    add("n1", "z1", "full");
    assertEquals(null, explain("h", "/open/1", null).services().get(0).chosen());
    assertEquals(
        Verdict.NOT_CONFIGURED,
        new RequestExplainer("n1", "z1", mesh).explain(null, "h", "/a/", KEY, 0).verdict());
  }
}
