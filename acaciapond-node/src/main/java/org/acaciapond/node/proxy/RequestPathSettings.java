package org.acaciapond.node.proxy;

import java.util.List;
import org.acaciapond.common.settings.SettingDescriptor;

/** Descriptors of the settings of the request path. */
public final class RequestPathSettings {

  /** Event loops of each listener. */
  public static final SettingDescriptor<Long> EVENT_LOOPS =
      SettingDescriptor.integer(
          "request_event_loops", "Event loops of each listener of calls.", 2L, 1, 32);

  /** Time between the start of draining and the first refusal. */
  public static final SettingDescriptor<Long> DRAIN_DELAY_MS =
      SettingDescriptor.integer(
          "drain_delay_ms",
          "Time in which new calls are still accepted after the target or node starts to leave.",
          3_000L,
          0,
          60_000);

  /** All settings of the request path. */
  public static final List<SettingDescriptor<?>> ALL = List.of(EVENT_LOOPS, DRAIN_DELAY_MS);

  private RequestPathSettings() {}
}
