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
 * Sequential test of a new version of a service against the old one. The result may be read after
 * any interval: the evidence is a mixture of likelihood ratios over start points and effect sizes,
 * so the bound on the false alarm probability holds for all intervals together.
 */
public final class CanaryAnalyzer {

  private static final String ALL_ROUTES = "all routes";
  private static final String OTHER_ROUTES = "other routes";
  private static final int MAX_ROUTES = 32;
  private static final int MAX_START_POINTS = 16;
  private static final int MAX_BLOCK_INTERVALS = 5;
  private static final int FULL_BLOCK_CALLS = 256;
  private static final double SLOW_SHARE = 0.25;
  private static final double TAIL_SHARE = 0.05;
  // Half of the false alarm probability goes to the first start point, the rest to 100 later ones.
  private static final double FIRST_START_LOG_WEIGHT = Math.log(0.5);
  private static final double LATER_START_LOG_WEIGHT = Math.log(0.5 / 100);
  // Terms below this value change no decision, even if all terms of a mixture have it.
  private static final double NEGLIGIBLE_NATS = -9;
  private static final double MAX_EXPONENT_NATS = 600;
  // When all reporters see a fault, a third of the evidence remains without the strongest of them.
  // When a single reporter sees it, nothing remains, and the rollout must not be delayed.
  private static final double HOLD_RATIO = 3;

  private final AnalysisSettings settings;
  private final String service;
  private final String oldVersion;
  private final String newVersion;
  private final Map<String, RouteEvidence> routes = new LinkedHashMap<>();
  private final RouteEvidence allRoutes = new RouteEvidence();
  private final Map<String, FirstReport> firstReports = new HashMap<>();
  private final List<Long> startPoints = new ArrayList<>(List.of(Long.MIN_VALUE));
  private long newCalls;
  private long latestInterval = Long.MIN_VALUE;
  private double windowEvidence = Double.NEGATIVE_INFINITY;
  private AnalysisResult result = AnalysisResult.NONE;
  private boolean changed;

  /** First interval in which a reporter sent counts under a grant. */
  private record FirstReport(long grantNumber, long interval) {}

  /** Log evidence for rejecting the version, and a weaker one that only delays raises. */
  private record LogEvidence(double rejection, double hold) {}

  /** Creates an analyzer that compares two versions of a service. */
  public CanaryAnalyzer(
      AnalysisSettings settings, String service, String oldVersion, String newVersion) {
    this.settings = settings;
    this.service = service;
    this.oldVersion = oldVersion;
    this.newVersion = newVersion;
  }

  /** Adds a summary that has passed the {@link org.acaciapond.rollout.evidence.EvidenceInbox}. */
  public void accept(EvidenceSummary summary) {
    boolean warmingUp = isWarmingUp(summary);
    for (RouteCounts counts : summary.routes()) {
      boolean toNew = counts.version().equals(newVersion);
      boolean known = toNew || counts.version().equals(oldVersion);
      if (known && counts.service().equals(service)) {
        addCounts(summary, counts, toNew, warmingUp);
      }
    }
    addStartPointWhenDue(summary.interval());
  }

  /** Returns the result for all evidence so far; a rejected version stays rejected. */
  public AnalysisResult result() {
    if (result.rejected()) {
      return result;
    }
    if (!changed) {
      result = result.withNewCalls(newCalls);
      return result;
    }
    changed = false;
    AnalysisResult strongest =
        new AnalysisResult(false, false, newCalls, Double.NEGATIVE_INFINITY, "");
    double allRoutesLimit = logLimit(2.0 * Metric.values().length);
    strongest = addEvidence(strongest, ALL_ROUTES, allRoutes, allRoutesLimit);
    if (routes.size() > 1) {
      double routeLimit = logLimit(2.0 * Metric.values().length * routes.size());
      for (Map.Entry<String, RouteEvidence> route : routes.entrySet()) {
        strongest = addEvidence(strongest, route.getKey(), route.getValue(), routeLimit);
      }
    }
    result = strongest;
    return strongest;
  }

  private double logLimit(double tests) {
    return Math.log(tests / settings.falseAlarmProbability());
  }

  private boolean isWarmingUp(EvidenceSummary summary) {
    FirstReport seen = firstReports.get(summary.reporter());
    if (seen == null || seen.grantNumber < summary.grantNumber()) {
      seen = new FirstReport(summary.grantNumber(), summary.interval());
      firstReports.put(summary.reporter(), seen);
    }
    return summary.interval() - seen.interval < settings.warmupIntervals();
  }

  private void addCounts(
      EvidenceSummary summary, RouteCounts counts, boolean toNew, boolean warmingUp) {
    RouteEvidence route = evidenceOf(counts.route());
    ReporterScores scores = route.scoresOf(summary.reporter(), startPoints.size());
    CallBlock block = scores.openBlock;
    if (block == null || mustCloseBlock(block, summary)) {
      closeBlock(summary.reporter(), route, scores);
      block = new CallBlock(summary.interval(), summary.grantNumber());
      scores.openBlock = block;
    }
    block.add(counts, toNew, warmingUp);
    if (toNew) {
      newCalls += counts.calls();
    }
  }

  // Depends on counts and intervals only, not on call outcomes, so that it cannot bias the test.
  private static boolean mustCloseBlock(CallBlock block, EvidenceSummary summary) {
    long age = summary.interval() - block.firstInterval();
    boolean full = age != 0 && block.calls() >= FULL_BLOCK_CALLS;
    return block.grantNumber() != summary.grantNumber()
        || age >= MAX_BLOCK_INTERVALS
        || age < 0
        || full;
  }

  private RouteEvidence evidenceOf(String name) {
    String key = routes.size() < MAX_ROUTES || routes.containsKey(name) ? name : OTHER_ROUTES;
    return routes.computeIfAbsent(key, path -> new RouteEvidence());
  }

  private void closeBlock(String reporter, RouteEvidence route, ReporterScores reporterScores) {
    CallBlock block = reporterScores.openBlock;
    reporterScores.openBlock = null;
    if (block == null) {
      return;
    }
    if (block.hasBothVersions()) {
      double[] scores = score(block, route.baseline, reporterScores.baseline);
      changed = true;
      reporterScores.add(scores);
      allRoutes.scoresOf(reporter, startPoints.size()).add(scores);
    }
    route.baseline.update(block);
    reporterScores.baseline.update(block);
  }

  private static double[] score(CallBlock block, Baseline route, Baseline reporter) {
    double[] scores = new double[Scores.VECTOR_LENGTH];
    Scores.addErrors(scores, block, route.errorShare(reporter));
    if (route.hasLatency()) {
      Scores.addSlowCalls(scores, Metric.SLOW, block, route.bucketAbove(SLOW_SHARE), route);
      Scores.addSlowCalls(scores, Metric.TAIL, block, route.bucketAbove(TAIL_SHARE), route);
    }
    return scores;
  }

  private void addStartPointWhenDue(long interval) {
    if (interval <= latestInterval) {
      return;
    }
    boolean first = latestInterval == Long.MIN_VALUE;
    latestInterval = interval;
    if (first) {
      startPoints.set(0, interval);
      return;
    }
    if (interval - startPoints.get(startPoints.size() - 1) < settings.startPointIntervals()) {
      return;
    }
    if (settings.method() == TestMethod.FIXED_WINDOW) {
      scoreWindow();
    }
    startPoints.add(interval);
    forEachReporter(ReporterScores::addStartPoint);
    if (startPoints.size() > MAX_START_POINTS) {
      thinStartPoints();
    }
  }

  // Drops every second of the older start points; recent ones stay dense.
  private void thinStartPoints() {
    for (int i = MAX_START_POINTS / 2; i > 0; i -= 2) {
      int point = i;
      startPoints.remove(point);
      forEachReporter(scores -> scores.startPointTotals.remove(point));
    }
  }

  private void forEachReporter(Consumer<ReporterScores> action) {
    routes.values().forEach(route -> route.allScores().forEach(action));
    allRoutes.allScores().forEach(action);
  }

  private AnalysisResult addEvidence(
      AnalysisResult soFar, String name, RouteEvidence route, double limit) {
    // More routes produce more random deviations, so each needs stronger evidence to delay a raise.
    double allRoutesLimit = logLimit(2.0 * Metric.values().length);
    AnalysisResult merged = soFar;
    for (Metric metric : Metric.values()) {
      LogEvidence logEvidence = logEvidence(route, metric);
      double evidence = logEvidence.rejection();
      boolean rejected = evidence >= limit;
      boolean suspicious =
          logEvidence.hold() >= limit - allRoutesLimit + settings.holdThresholdNats();
      boolean stronger = evidence > merged.logEvidence();
      String reason = stronger ? metric.description() + " on " + name : merged.reason();
      merged =
          new AnalysisResult(
              merged.rejected() || rejected,
              merged.suspicious() || suspicious,
              newCalls,
              Math.max(evidence, merged.logEvidence()),
              reason);
    }
    return merged;
  }

  private LogEvidence logEvidence(RouteEvidence route, Metric metric) {
    return switch (settings.method()) {
      case MIXTURE_RATIO -> mixtureOfRatios(route, metric);
      case CONFIDENCE_SEQUENCE -> confidenceSequence(route, metric);
      case FIXED_WINDOW -> new LogEvidence(windowEvidence, windowEvidence);
    };
  }

  private LogEvidence mixtureOfRatios(RouteEvidence route, Metric metric) {
    int first = Scores.FIRST_RATIO_INDEX[metric.ordinal()];
    int ratios = Scores.RATIO_COUNTS[metric.ordinal()];
    int unhealthyLimit = route.maxUnhealthy(settings.unhealthyReporterShare());
    double rejection = 0;
    double hold = 0;
    for (int point = 0; point < startPoints.size(); point++) {
      double weight =
          (point == 0 ? FIRST_START_LOG_WEIGHT : LATER_START_LOG_WEIGHT) - Math.log(ratios);
      for (int i = first; i < first + ratios; i++) {
        RouteEvidence.TrimmedSum sum =
            route.trimmedSum(point, i, unhealthyLimit, NEGLIGIBLE_NATS - weight);
        rejection +=
            exp(
                weight
                    + capByAgreement(
                        sum.all(), sum.withoutStrongest(), settings.agreementSlackNats()));
        hold += exp(weight + capForHold(sum.all(), sum.withoutStrongest()));
      }
    }
    return new LogEvidence(Math.log(rejection), Math.log(hold));
  }

  // Caps the total evidence when the reporters without the strongest ones do not support it.
  private static double capByAgreement(double all, double withoutStrongest, double slack) {
    return Math.min(all, Math.max(withoutStrongest + slack, 0));
  }

  private static double capForHold(double all, double withoutStrongest) {
    return Math.min(all, HOLD_RATIO * Math.max(withoutStrongest, 0));
  }

  private static double exp(double nats) {
    return Math.exp(Math.min(MAX_EXPONENT_NATS, nats));
  }

  private LogEvidence confidenceSequence(RouteEvidence route, Metric metric) {
    int index = Scores.excessIndex(metric);
    int unhealthyLimit = route.maxUnhealthy(settings.unhealthyReporterShare());
    double rejection = 0;
    double hold = 0;
    for (int point = 0; point < startPoints.size(); point++) {
      double weight = point == 0 ? FIRST_START_LOG_WEIGHT : LATER_START_LOG_WEIGHT;
      double variance = route.sumSince(point, index + 1);
      RouteEvidence.TrimmedSum sum =
          route.trimmedSum(point, index, unhealthyLimit, Double.NEGATIVE_INFINITY);
      double all = HalfNormalMixture.logMixture(sum.all(), variance);
      double rest = HalfNormalMixture.logMixture(sum.withoutStrongest(), variance);
      rejection += exp(weight + capByAgreement(all, rest, settings.agreementSlackNats()));
      hold += exp(weight + capForHold(all, rest));
    }
    return new LogEvidence(Math.log(rejection), Math.log(hold));
  }

  // Takes the largest z value of the window, converted to log evidence (z * z / 2).
  private void scoreWindow() {
    windowEvidence = windowScore(allRoutes);
    for (RouteEvidence route : routes.values()) {
      windowEvidence = Math.max(windowEvidence, windowScore(route));
    }
  }

  private double windowScore(RouteEvidence route) {
    int point = startPoints.size() - 1;
    double strongest = Double.NEGATIVE_INFINITY;
    for (Metric metric : Metric.values()) {
      int index = Scores.excessIndex(metric);
      double excess = Math.max(0, route.sumSince(point, index));
      double variance = route.sumSince(point, index + 1);
      if (variance > 1) {
        strongest = Math.max(strongest, excess * excess / variance / 2);
      }
    }
    return strongest;
  }
}
