package org.acaciapond.mesh.platform;

/**
 * Validated settings of a sidecar node.
 *
 * @param nodeKey stable key of the host
 * @param domain failure domain
 * @param service service of the local target
 * @param outbound listen address for clients and for the target's own calls
 * @param ready listen address of the readiness check
 * @param control listen address for check-ins of the target
 * @param peer listen address for other nodes
 * @param metrics listen address of the metrics
 * @param target address at which the target serves requests
 * @param store address of the platform's store
 * @param memoryMb memory limit of the process, in MiB
 * @param bounds limits that the platform sets for all nodes
 * @param maxOpenFiles descriptors that the process may open; 0 if the platform does not limit them
 */
public record SidecarSettings(
    String nodeKey,
    String domain,
    String service,
    SocketAddressSetting outbound,
    SocketAddressSetting ready,
    SocketAddressSetting control,
    SocketAddressSetting peer,
    SocketAddressSetting metrics,
    SocketAddressSetting target,
    SocketAddressSetting store,
    int memoryMb,
    Bounds bounds,
    int maxOpenFiles) {

  /** Creates the settings of a process whose descriptors the platform does not limit. */
  public SidecarSettings(
      String nodeKey,
      String domain,
      String service,
      SocketAddressSetting outbound,
      SocketAddressSetting ready,
      SocketAddressSetting control,
      SocketAddressSetting peer,
      SocketAddressSetting metrics,
      SocketAddressSetting target,
      SocketAddressSetting store,
      int memoryMb,
      Bounds bounds) {
    this(
        nodeKey, domain, service, outbound, ready, control, peer, metrics, target, store, memoryMb,
        bounds, 0);
  }

  /**
   * Limits that the platform sets for all nodes.
   *
   * @param graceMs time between the request to stop and the kill
   * @param retryRatio retries per request of a service, for all nodes together
   * @param retrySlack retries per window in addition to the ratio
   * @param retryWindowMs length of that window
   * @param newVersionShare largest share of a service's requests for a version that was not proven
   *     good
   * @param newVersionSlack requests for such a version in addition to the share
   * @param quotaWindowMs length of the window in which the requests of a client account are counted
   * @param quotaOverShare share of an account's limit that may pass beyond it
   * @param quotaSlack requests that may pass beyond the limit in addition to the share
   * @param coldOverFactor largest number of requests per second to a cold target, as a multiple of
   *     the number that it tolerates
   * @param coldSlack requests in addition to that number
   */
  public record Bounds(
      int graceMs,
      double retryRatio,
      double retrySlack,
      int retryWindowMs,
      double newVersionShare,
      double newVersionSlack,
      int quotaWindowMs,
      double quotaOverShare,
      double quotaSlack,
      double coldOverFactor,
      double coldSlack) {}
}
