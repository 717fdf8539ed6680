package org.acaciapond.mesh.route;

import java.util.List;

/**
 * Route for the requests of one host and path prefix.
 *
 * @param name name in the operator's configuration
 * @param host host in the Host header of requests
 * @param pathPrefix prefix that begins and ends with a slash
 * @param kind kind of the requests
 * @param timeoutMs longest time until a request is answered
 * @param objectiveMs latency objective; 0 if none is set
 * @param priority rank in admission queues; 0 is admitted first
 * @param services services that share the traffic by weight, at least one
 * @param maxAttempts maximum number of targets that one request may be sent to
 * @param open whether requests need no key of a client account
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    int timeoutMs,
    int objectiveMs,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean open) {

  /** Makes an immutable copy of the list. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns whether a request may run more than once. */
  public boolean idempotent() {
    return kind.isIdempotent();
  }

  /** Selects a service by weight for a uniform random number from [0, 1). */
  public String selectService(double draw) {
    long total = 0;
    for (WeightedService weighted : services) {
      total += weighted.weight();
    }
    double remaining = draw * total;
    for (WeightedService weighted : services) {
      remaining -= weighted.weight();
      if (remaining < 0) {
        return weighted.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
