package org.acaciapond.bench.pace;

import java.util.List;

/**
 * Load on one target and what happens to the target during it.
 *
 * @param name name of the case
 * @param trouble what happens to the target
 * @param troubleS when it begins
 * @param recoveredS when it is over
 * @param onFull what the target does with requests that it cannot queue
 * @param routes service times of the routes, each with the same number of calls
 * @param speed factor of all service times
 * @param load offered calls as a multiple of what the slots can serve
 */
record PaceCase(
    String name,
    Trouble trouble,
    double troubleS,
    double recoveredS,
    OnFull onFull,
    List<Double> routes,
    double speed,
    double load) {

  static final int SLOTS = 8;
  static final int TARGET_QUEUE = 2;
  static final double LENGTH_S = 30;
  static final double DEADLINE_S = 2.5;
  static final double OBJECTIVE_S = 0.6;
  static final double COLD_RATE_PER_S = 12;
  static final double COLD_OVER_FACTOR = 1.5;
  static final double COLD_SLACK = 8;
  private static final List<Double> USUAL = List.of(0.1);
  private static final List<Double> DIFFERENT = List.of(0.02, 0.1, 0.5);
  private static final double OVERLOAD = 1.3;
  private static final double HALF_LOAD = 0.5;
  private static final double CALM_LOAD = 0.4;

  /** What happens to the target. */
  enum Trouble {
    /** Nothing. */
    NONE,
    /** It accepts no connections, and what runs is lost. */
    DOWN,
    /** It answers nothing that it gets. */
    SILENT,
    /** Each call takes five times as long. */
    SLOW,
    /** Only half of its slots work. */
    HALF,
    /** Calls take longer the more of them run beyond half of the slots, and their number rises. */
    CONGESTED,
    /** A quarter of the calls are refused, however many run. */
    REFUSING,
    /** It is cold: twice as slow, and crashes at three times the rate that it tolerates. */
    COLD
  }

  /** What the target does with requests that it cannot queue. */
  enum OnFull {
    /** It answers that it did not run the request. */
    REFUSE,
    /** It resets the connection. */
    RESET,
    /** It never answers. */
    HANG
  }

  static List<PaceCase> all() {
    return List.of(
        of("healthy", Trouble.NONE, OnFull.REFUSE, USUAL, 1),
        of("healthy, fast", Trouble.NONE, OnFull.REFUSE, USUAL, 0.5),
        of("healthy, slow", Trouble.NONE, OnFull.REFUSE, USUAL, 1.5),
        of("healthy, different routes", Trouble.NONE, OnFull.REFUSE, DIFFERENT, 1),
        of("down", Trouble.DOWN, OnFull.REFUSE, USUAL, 1),
        of("silent", Trouble.SILENT, OnFull.REFUSE, USUAL, 1),
        of("slow", Trouble.SLOW, OnFull.REFUSE, USUAL, 1),
        new PaceCase("slow, half load", Trouble.SLOW, 10, 16, OnFull.REFUSE, USUAL, 1, HALF_LOAD),
        of("half, refuses", Trouble.HALF, OnFull.REFUSE, USUAL, 1),
        of("half, resets", Trouble.HALF, OnFull.RESET, USUAL, 1),
        of("half, hangs", Trouble.HALF, OnFull.HANG, USUAL, 1),
        of("congested", Trouble.CONGESTED, OnFull.REFUSE, USUAL, 1),
        of("refuses at any load", Trouble.REFUSING, OnFull.REFUSE, USUAL, 1),
        of("cold", Trouble.COLD, OnFull.REFUSE, USUAL, 1));
  }

  private static PaceCase of(
      String name, Trouble trouble, OnFull onFull, List<Double> routes, double speed) {
    return new PaceCase(name, trouble, 10, 16, onFull, routes, speed, OVERLOAD);
  }

  boolean isTroubled(double nowS) {
    return nowS >= troubleS && nowS < recoveredS;
  }

  double meanServiceS() {
    return speed * routes.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
  }

  double arrivalsPerS(double nowS) {
    boolean calm = trouble == Trouble.CONGESTED && !isTroubled(nowS);
    return (calm ? CALM_LOAD : load) * SLOTS / meanServiceS();
  }
}
