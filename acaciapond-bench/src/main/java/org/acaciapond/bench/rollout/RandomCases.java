package org.acaciapond.bench.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Generator of random cases, which show whether settings are overfitted to the case files. */
final class RandomCases {

  private static final double[] ERROR_SIZES = {0.01, 0.02, 0.05, 0.2, 0.6};
  private static final double[] SLOWDOWNS = {1.5, 2, 3, 6};
  private static final double[] LOADS = {0.3, 0.5, 0.7, 0.9};
  private static final int KINDS = 8;

  private RandomCases() {}

  static List<RolloutCase> generate(int count, long seed) {
    Random random = new Random(seed);
    List<RolloutCase> cases = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      cases.add(generate(i, random));
    }
    return cases;
  }

  private static RolloutCase generate(int index, Random random) {
    boolean good = index % 2 == 0;
    double deadline = Math.round(between(random, 120, 1800));
    double rate = Math.round(between(random, 100, 2000));
    int nodes = 3 + random.nextInt(25);
    List<RolloutCase.Route> routes = routes(1 + random.nextInt(4), random);
    double errors = between(random, 0.0005, 0.01);
    double median = between(random, 3, 80);
    RolloutCase.Behavior old =
        new RolloutCase.Behavior(median, median * between(random, 2.5, 12), errors);
    RolloutCase.Fault fault = good ? null : fault(random, deadline, routes);
    List<RolloutCase.Fault> shared =
        random.nextInt(3) == 0 ? List.of(shared(random, deadline)) : List.of();
    int unhealthy = nodes >= 5 && random.nextInt(3) == 0 ? 1 : 0;
    String kind = fault == null ? "good" : describe(fault, deadline);
    String name = "random-" + index + "-" + kind + "-" + (int) rate + "x" + (int) deadline;
    return new RolloutCase(
        name,
        deadline,
        nodes,
        rate,
        4 + random.nextInt(30),
        routes,
        old,
        old,
        fault == null ? List.of() : List.of(fault),
        shared,
        unhealthy,
        good,
        between(random, 0, 6),
        2);
  }

  private static String describe(RolloutCase.Fault fault, double deadline) {
    String size = (fault.error() ? "e" : "l") + fault.size();
    String time =
        fault.afterSeconds() > deadline ? "-after" : fault.afterSeconds() > 0 ? "-later" : "";
    String load = fault.aboveLoad() > 0 ? "-load" + fault.aboveLoad() : "";
    return size + time + load + (fault.route() == null ? "" : "-route");
  }

  private static RolloutCase.Fault fault(
      Random random, double deadline, List<RolloutCase.Route> routes) {
    int kind = random.nextInt(KINDS);
    boolean error = random.nextBoolean();
    double size =
        error
            ? ERROR_SIZES[random.nextInt(ERROR_SIZES.length)]
            : SLOWDOWNS[random.nextInt(SLOWDOWNS.length)];
    double after = kind == 1 || kind == 2 ? Math.round(deadline * between(random, 0.1, 1.3)) : 0;
    double load = kind == 3 || kind == 4 ? LOADS[random.nextInt(LOADS.length)] : 0;
    @Nullable String route = kind == 5 ? routes.get(0).path() : null;
    return new RolloutCase.Fault(error, size, after, Double.POSITIVE_INFINITY, load, route);
  }

  private static RolloutCase.Fault shared(Random random, double deadline) {
    boolean error = random.nextBoolean();
    double from = Math.round(deadline * between(random, 0, 0.8));
    double until = from + Math.round(deadline * between(random, 0.05, 0.3));
    double size = error ? between(random, 0.02, 0.4) : between(random, 1.5, 5);
    return new RolloutCase.Fault(error, size, from, until, 0, null);
  }

  private static List<RolloutCase.Route> routes(int count, Random random) {
    List<RolloutCase.Route> routes = new ArrayList<>();
    double rest = 1;
    for (int i = 0; i < count; i++) {
      double share = i == count - 1 ? rest : rest * between(random, 0.3, 0.6);
      routes.add(new RolloutCase.Route("/r" + i, share));
      rest -= share;
    }
    return routes;
  }

  private static double between(Random random, double low, double high) {
    return low + (high - low) * random.nextDouble();
  }
}
