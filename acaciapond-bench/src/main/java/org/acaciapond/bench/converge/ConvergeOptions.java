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
 */
record ConvergeOptions(
    int nodes, int changes, String distribution, int services, int domains, long editIntervalMs) {

  ConvergeOptions {
    if (nodes < 1 || changes < 1 || services < 1 || domains < 1 || editIntervalMs < 0) {
      throw new IllegalArgumentException("nodes, changes, services and domains must be positive");
    }
  }

  String domainOf(int node) {
    return "domain-" + node % domains;
  }

  String serviceOf(int node) {
    return SyntheticConfig.serviceName(node / domains % services);
  }
}
