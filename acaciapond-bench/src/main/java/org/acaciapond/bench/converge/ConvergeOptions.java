package org.acaciapond.bench.converge;

/**
 * Options of the experiment.
 *
 * @param nodes nodes in this process
 * @param changes edits that are measured
 * @param distribution value of the node setting {@code distribution}
 * @param services services of the configuration
 * @param domains failure domains that the nodes are spread over
 * @param editIntervalMs least time from one edit to the next
 * @param scenario what happens to the nodes and the platform
 */
record ConvergeOptions(
    int nodes,
    int changes,
    String distribution,
    int services,
    int domains,
    long editIntervalMs,
    Scenario scenario) {

  /** Least number of nodes of a domain: one for each of its groups. */
  private static final int MIN_NODES_PER_DOMAIN = 2;

  ConvergeOptions {
    if (changes < 1 || services < 1 || domains < 1 || editIntervalMs < 0) {
      throw new IllegalArgumentException("changes, services and domains must be positive");
    }
    if (nodes < domains * MIN_NODES_PER_DOMAIN) {
      throw new IllegalArgumentException("each domain needs at least two nodes");
    }
  }

  String domainOf(int node) {
    return "domain-" + node % domains;
  }

  String serviceOf(int node) {
    return SyntheticConfig.serviceName(node / domains % services);
  }
}
