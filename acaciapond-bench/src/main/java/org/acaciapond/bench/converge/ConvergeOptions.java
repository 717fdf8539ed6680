package org.acaciapond.bench.converge;

/**
 * Options of the command {@code converge}.
 *
 * @param nodes number of nodes, all in this process
 * @param changes number of measured edits
 * @param distribution value of the node setting {@code distribution}
 * @param services number of services in the configuration
 * @param domains number of failure domains that the nodes are spread over
 * @param editIntervalMs minimum time from one edit to the next, in milliseconds
 * @param scenario scenario to run
 */
record ConvergeOptions(
    int nodes,
    int changes,
    String distribution,
    int services,
    int domains,
    long editIntervalMs,
    Scenario scenario) {

  /** Minimum number of nodes in a domain: one for each of its two event loop groups. */
  private static final int MIN_NODES_PER_DOMAIN = 2;

  ConvergeOptions {
    if (changes < 1 || services < 1 || domains < 1 || editIntervalMs < 0) {
      throw new IllegalArgumentException(
          "changes, services and domains must be positive and edit-interval-ms not negative: "
              + changes
              + ", "
              + services
              + ", "
              + domains
              + " and "
              + editIntervalMs);
    }
    if (nodes < domains * MIN_NODES_PER_DOMAIN) {
      throw new IllegalArgumentException(
          "each domain needs at least two nodes: " + nodes + " nodes in " + domains + " domains");
    }
  }

  String domainOf(int node) {
    return "domain-" + node % domains;
  }

  String serviceOf(int node) {
    return SyntheticConfig.serviceName(node / domains % services);
  }
}
