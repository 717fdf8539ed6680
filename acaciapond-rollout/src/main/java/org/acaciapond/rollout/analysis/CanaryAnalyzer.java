package org.acaciapond.rollout.analysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.acaciapond.rollout.evidence.EvidenceSummary;
import org.acaciapond.rollout.evidence.RouteCounts;

/**
 * Sequential judge of one new version against the old one. It may be asked after any interval: the
 * evidence is a mixture of likelihood ratios over start points and sizes of harm, so the bound on
 * false alarms holds for all intervals together.
 */
public final class CanaryAnalyzer {

  private static final String ALL_ROUTES = "all routes";
  private static final String OTHER_ROUTES = "other routes";
  private static final int MAX_ROUTES = 32;
  private static final int MAX_MARKS = 16;
  private static final int BLOCK_INTERVALS = 5;
  private static final int BLOCK_CALLS = 256;
  private static final double SLOW_SHARE = 0.25;
  private static final double TAIL_SHARE = 0.05;
  // Half the false alarms are spent on the first start point, the rest on 100 later ones.
  private static final double FIRST_WEIGHT = Math.log(0.5);
  private static final double LATER_WEIGHT = Math.log(0.5 / 100);
  // A term this small changes no decision, even if all terms of a mixture were as large.
  private static final double NEGLIGIBLE_NATS = -9;
  private static final double MAX_NATS = 600;
  // A fault that all witnesses see leaves a third of the evidence without the strongest of them;
  // with a lone accuser nothing is left, and it must not hold a rollout back.
  private static final double DOUBT_RATIO = 3;

  private final AnalysisSettings settings;
  private final String service;
  private final String oldVersion;
  private final String newVersion;
  private final Map<String, RouteEvidence> routes = new LinkedHashMap<>();
  private final RouteEvidence together = new RouteEvidence();
  private final Map<String, ShareGrantSeen> grants = new HashMap<>();
  private final List<Long> marks = new ArrayList<>(List.of(Long.MIN_VALUE));
  private long newCalls;
  private long latest = Long.MIN_VALUE;
  private double windowWorst = Double.NEGATIVE_INFINITY;
  private AnalysisResult verdict = AnalysisResult.NONE;
  private boolean changed;

  /** First interval in which a witness reported a grant. */
  private record ShareGrantSeen(long number, long interval) {}

  /** Log evidence that the version is bad, and the weaker kind that only delays raises. */
  private record Weight(double proof, double doubt) {}

  /** Creates a judge of two versions of a service. */
  public CanaryAnalyzer(
      AnalysisSettings settings, String service, String oldVersion, String newVersion) {
    this.settings = settings;
    this.service = service;
    this.oldVersion = oldVersion;
    this.newVersion = newVersion;
  }

  /** Adds a summary that has passed the {@link org.acaciapond.rollout.evidence.EvidenceInbox}. */
  public void accept(EvidenceSummary summary) {
    boolean cold = coldAt(summary);
    for (RouteCounts counts : summary.routes()) {
      boolean toNew = counts.version().equals(newVersion);
      boolean known = toNew || counts.version().equals(oldVersion);
      if (known && counts.service().equals(service)) {
        add(summary, counts, toNew, cold);
      }
    }
    markWhenDue(summary.interval());
  }

  /** Returns the judgement of all evidence so far; a condemned version stays condemned. */
  public AnalysisResult verdict() {
    if (verdict.condemned()) {
      return verdict;
    }
    if (!changed) {
      verdict = verdict.withCalls(newCalls);
      return verdict;
    }
    changed = false;
    AnalysisResult worst = new AnalysisResult(false, false, newCalls, Double.NEGATIVE_INFINITY, "");
    double togetherLimit = limit(2.0 * Metric.values().length);
    worst = worse(worst, ALL_ROUTES, together, togetherLimit);
    if (routes.size() > 1) {
      double routeLimit = limit(2.0 * Metric.values().length * routes.size());
      for (Map.Entry<String, RouteEvidence> route : routes.entrySet()) {
        worst = worse(worst, route.getKey(), route.getValue(), routeLimit);
      }
    }
    verdict = worst;
    return worst;
  }

  private double limit(double tests) {
    return Math.log(tests / settings.falseAlarmShare());
  }

  private boolean coldAt(EvidenceSummary summary) {
    ShareGrantSeen seen = grants.get(summary.witness());
    if (seen == null || seen.number < summary.grantNumber()) {
      seen = new ShareGrantSeen(summary.grantNumber(), summary.interval());
      grants.put(summary.witness(), seen);
    }
    return summary.interval() - seen.interval < settings.coldIntervals();
  }

  private void add(EvidenceSummary summary, RouteCounts counts, boolean toNew, boolean cold) {
    RouteEvidence route = route(counts.route());
    Ledger ledger = route.ledger(summary.witness(), marks.size());
    Block block = ledger.open;
    if (block == null || mustClose(block, summary)) {
      close(summary.witness(), route, ledger);
      block = new Block(summary.interval(), summary.grantNumber());
      ledger.open = block;
    }
    block.add(counts, toNew, cold);
    if (toNew) {
      newCalls += counts.calls();
    }
  }

  // The rule looks at counts and times only, never at outcomes, so it cannot bias the test.
  private static boolean mustClose(Block block, EvidenceSummary summary) {
    long age = summary.interval() - block.firstInterval();
    boolean full = age != 0 && block.calls() >= BLOCK_CALLS;
    return block.grant() != summary.grantNumber() || age >= BLOCK_INTERVALS || age < 0 || full;
  }

  private RouteEvidence route(String name) {
    String key = routes.size() < MAX_ROUTES || routes.containsKey(name) ? name : OTHER_ROUTES;
    return routes.computeIfAbsent(key, path -> new RouteEvidence());
  }

  private void close(String witness, RouteEvidence route, Ledger ledger) {
    Block block = ledger.open;
    ledger.open = null;
    if (block == null) {
      return;
    }
    if (block.comparable()) {
      double[] scores = score(block, route.baseline, ledger.baseline);
      changed = true;
      ledger.add(scores);
      together.ledger(witness, marks.size()).add(scores);
    }
    route.baseline.learn(block);
    ledger.baseline.learn(block);
  }

  private static double[] score(Block block, Baseline route, Baseline witness) {
    double[] scores = new double[Scores.LENGTH];
    Scores.addErrors(scores, block, route.errorShare(witness));
    if (route.knowsLatency()) {
      Scores.addSlow(scores, Metric.SLOW, block, route.bucketAbove(SLOW_SHARE), route);
      Scores.addSlow(scores, Metric.TAIL, block, route.bucketAbove(TAIL_SHARE), route);
    }
    return scores;
  }

  private void markWhenDue(long interval) {
    if (interval <= latest) {
      return;
    }
    boolean first = latest == Long.MIN_VALUE;
    latest = interval;
    if (first) {
      marks.set(0, interval);
      return;
    }
    if (interval - marks.get(marks.size() - 1) < settings.restartIntervals()) {
      return;
    }
    if (settings.method() == TestMethod.FIXED_WINDOW) {
      closeWindow();
    }
    marks.add(interval);
    forEachLedger(Ledger::mark);
    if (marks.size() > MAX_MARKS) {
      thinMarks();
    }
  }

  // Drops every second of the older start points; recent ones stay dense.
  private void thinMarks() {
    for (int i = MAX_MARKS / 2; i > 0; i -= 2) {
      int mark = i;
      marks.remove(mark);
      forEachLedger(ledger -> ledger.marks.remove(mark));
    }
  }

  private void forEachLedger(Consumer<Ledger> action) {
    routes.values().forEach(route -> route.all().forEach(action));
    together.all().forEach(action);
  }

  private AnalysisResult worse(
      AnalysisResult worst, String name, RouteEvidence route, double limit) {
    // Many routes show more chance signs, so each needs stronger ones to delay a raise.
    double certain = limit(2.0 * Metric.values().length);
    AnalysisResult result = worst;
    for (Metric metric : Metric.values()) {
      Weight weight = evidence(route, metric);
      double evidence = weight.proof();
      boolean condemned = evidence >= limit;
      boolean suspicious = weight.doubt() >= limit - certain + settings.holdNats();
      boolean stronger = evidence > result.logEvidence();
      String reason = stronger ? metric.complaint() + " on " + name : result.reason();
      result =
          new AnalysisResult(
              result.condemned() || condemned,
              result.suspicious() || suspicious,
              newCalls,
              Math.max(evidence, result.logEvidence()),
              reason);
    }
    return result;
  }

  private Weight evidence(RouteEvidence route, Metric metric) {
    return switch (settings.method()) {
      case MIXTURE_RATIO -> mixture(route, metric);
      case CONFIDENCE_SEQUENCE -> confidence(route, metric);
      case FIXED_WINDOW -> new Weight(windowWorst, windowWorst);
    };
  }

  private Weight mixture(RouteEvidence route, Metric metric) {
    int first = Scores.FIRST[metric.ordinal()];
    int sizes = Scores.SIZES[metric.ordinal()];
    int sick = route.sickLimit(settings.sickWitnessShare());
    double proof = 0;
    double doubt = 0;
    for (int mark = 0; mark < marks.size(); mark++) {
      double weight = (mark == 0 ? FIRST_WEIGHT : LATER_WEIGHT) - Math.log(sizes);
      for (int i = first; i < first + sizes; i++) {
        RouteEvidence.Trimmed sum = route.trimmed(mark, i, sick, NEGLIGIBLE_NATS - weight);
        proof += exp(weight + agreed(sum.all(), sum.withoutAccusers(), settings.agreementNats()));
        doubt += exp(weight + doubted(sum.all(), sum.withoutAccusers()));
      }
    }
    return new Weight(Math.log(proof), Math.log(doubt));
  }

  // Caps the evidence of all witnesses when those without the strongest accusers do not agree.
  private static double agreed(double all, double withoutAccusers, double slack) {
    return Math.min(all, Math.max(withoutAccusers + slack, 0));
  }

  private static double doubted(double all, double withoutAccusers) {
    return Math.min(all, DOUBT_RATIO * Math.max(withoutAccusers, 0));
  }

  private static double exp(double nats) {
    return Math.exp(Math.min(MAX_NATS, nats));
  }

  private Weight confidence(RouteEvidence route, Metric metric) {
    int index = Scores.excessIndex(metric);
    int sick = route.sickLimit(settings.sickWitnessShare());
    double proof = 0;
    double doubt = 0;
    for (int mark = 0; mark < marks.size(); mark++) {
      double weight = mark == 0 ? FIRST_WEIGHT : LATER_WEIGHT;
      double variance = route.sum(mark, index + 1);
      RouteEvidence.Trimmed sum = route.trimmed(mark, index, sick, Double.NEGATIVE_INFINITY);
      double all = HalfNormal.log(sum.all(), variance);
      double rest = HalfNormal.log(sum.withoutAccusers(), variance);
      proof += exp(weight + agreed(all, rest, settings.agreementNats()));
      doubt += exp(weight + doubted(all, rest));
    }
    return new Weight(Math.log(proof), Math.log(doubt));
  }

  // The largest z value of the window, put on the scale of log evidence.
  private void closeWindow() {
    windowWorst = windowScore(together);
    for (RouteEvidence route : routes.values()) {
      windowWorst = Math.max(windowWorst, windowScore(route));
    }
  }

  private double windowScore(RouteEvidence route) {
    int mark = marks.size() - 1;
    double worst = Double.NEGATIVE_INFINITY;
    for (Metric metric : Metric.values()) {
      int index = Scores.excessIndex(metric);
      double excess = Math.max(0, route.sum(mark, index));
      double variance = route.sum(mark, index + 1);
      if (variance > 1) {
        worst = Math.max(worst, excess * excess / variance / 2);
      }
    }
    return worst;
  }
}
