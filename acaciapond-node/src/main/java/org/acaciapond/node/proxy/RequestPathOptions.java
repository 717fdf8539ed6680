package org.acaciapond.node.proxy;

import org.acaciapond.common.settings.Settings;

/**
 * Options of the two proxies.
 *
 * @param eventLoops event loops of each listener
 * @param drainDelayMs time between the start of leaving and the first refusal
 * @param retryBudget whether retries are kept within the budget; off only in baselines
 * @param admission whether admission is applied; off only in baselines
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
