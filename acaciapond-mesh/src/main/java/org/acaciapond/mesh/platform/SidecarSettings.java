package org.acaciapond.mesh.platform;

/**
 * Checked settings of a sidecar node.
 *
 * @param nodeKey stable key of the host
 * @param domain failure domain
 * @param service service of the target beside the node
 * @param outbound address for clients and for the target's own calls
 * @param ready address of the readiness question
 * @param control address for check-ins of the target
 * @param peer address for other nodes
 * @param metrics address of the metrics
 * @param target address of the target
 * @param store address of the platform's store
 * @param memoryMb memory that the process may use
 * @param bounds figures of the contract
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
    Bounds bounds) {

  /**
   * Figures of the contract.
   *
   * @param graceMs time between the request to stop and the kill
   * @param repeatRatio repeats per request of a service, all nodes together
   * @param repeatSlack repeats per window beyond the ratio
   * @param repeatWindowMs length of that window
   * @param newVersionShare share of a service's requests that an unproved version may get
   */
  public record Bounds(
      int graceMs,
      double repeatRatio,
      double repeatSlack,
      int repeatWindowMs,
      double newVersionShare) {}
}
