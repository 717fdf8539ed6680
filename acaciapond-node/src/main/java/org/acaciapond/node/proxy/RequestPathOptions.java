package org.acaciapond.node.proxy;

import org.acaciapond.common.settings.Settings;

/**
 * Options of the inbound and outbound proxies.
 *
 * @param eventLoops event loops of each listener
 * @param drainDelayMs time between the start of draining and the first refusal
 * @param retryBudget whether the retry budget limits retries; false only in benchmark baselines
 * @param admission whether admission control is applied; false only in benchmark baselines
 */
public record RequestPathOptions(
    int eventLoops, long drainDelayMs, boolean retryBudget, boolean admission) {

  /** Reads the options from the settings of a node. */
  public static RequestPathOptions of(Settings settings) {
    return new RequestPathOptions(
        settings.get(RequestPathSettings.EVENT_LOOPS).intValue(),
        settings.get(RequestPathSettings.DRAIN_DELAY_MS),
        true,
        true);
  }
}
