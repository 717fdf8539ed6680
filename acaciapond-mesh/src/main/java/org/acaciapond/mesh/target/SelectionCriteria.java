package org.acaciapond.mesh.target;

/**
 * Properties of a request by which a target is selected.
 *
 * @param responseBytes expected length of the response, the cost of leaving the failure domain
 * @param serviceUs mean service time of requests of this route, in microseconds; 0 if unknown
 * @param rank order of admission
 * @param objectiveLeftUs time left until the latency objective, in microseconds
 * @param leftUs time left until the deadline, in microseconds
 * @param coldRequestsPerS requests per second that a cold target of the service tolerates, 0 if any
 *     number
 */
public record SelectionCriteria(
    double responseBytes,
    double serviceUs,
    int rank,
    double objectiveLeftUs,
    double leftUs,
    double coldRequestsPerS) {

  /** Creates criteria for a service whose cold targets tolerate any rate. */
  public SelectionCriteria(
      double responseBytes, double serviceUs, int rank, double objectiveLeftUs, double leftUs) {
    this(responseBytes, serviceUs, rank, objectiveLeftUs, leftUs, 0);
  }
}
