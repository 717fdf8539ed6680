package org.acaciapond.mesh.route;

import java.util.List;

/**
 * Rule for the requests of one host and path prefix.
 *
 * @param name name in the operator's text
 * @param host host that requests name
 * @param pathPrefix prefix that begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param timeoutMs longest time a request is kept waiting
 * @param objectiveMs time within which an answer is worth most; 0 when none is set
 * @param priority rank, 0 first
 * @param services parts of the traffic, at least one
 * @param maxAttempts most targets that one request may be sent to
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    boolean repeatable,
    int timeoutMs,
    int objectiveMs,
    int priority,
    List<WeightedService> services,
    int maxAttempts) {

  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns the part that a uniform draw from [0, 1) falls into. */
  public String serviceFor(double draw) {
    long total = 0;
    for (WeightedService part : services) {
      total += part.weight();
    }
    double left = draw * total;
    for (WeightedService part : services) {
      left -= part.weight();
      if (left < 0) {
        return part.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
