package org.acaciapond.mesh.rollout;

/**
 * Permission to send a share of a service's requests to the new version, issued by the analyzer of
 * the rollout.
 *
 * @param service service whose traffic is shifted
 * @param toVersion version that receives the traffic
 * @param orderNumber number of the rollout order
 * @param number number of the grant, increased with each change of the share
 * @param sharePermille share of the requests that the new version gets, in permille
 * @param state state of the rollout; {@link RolloutState#TAKEN_BACK} is final
 * @param elapsedMs time since the order, measured by the analyzer
 */
public record ShareGrant(
    String service,
    String toVersion,
    long orderNumber,
    long number,
    int sharePermille,
    RolloutState state,
    int elapsedMs) {

  /** Returns this grant for the number that the order has in another era of the store. */
  ShareGrant withOrderNumber(long other) {
    return new ShareGrant(service, toVersion, other, number, sharePermille, state, elapsedMs);
  }
}
