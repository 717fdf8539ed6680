package org.acaciapond.node.telemetry;

import java.util.List;
import org.acaciapond.common.settings.SettingDescriptor;

/** Descriptors of the settings of telemetry. */
public final class TelemetrySettings {

  /** Sampled traces per million that start at this node. */
  public static final SettingDescriptor<Long> TRACES_PER_MILLION =
      SettingDescriptor.integer(
          "traces_per_million",
          "Traces kept of each million that start at this node; 0 switches tracing off.",
          0L,
          0,
          1_000_000);

  /** All settings of telemetry. */
  public static final List<SettingDescriptor<?>> ALL = List.of(TRACES_PER_MILLION);

  private TelemetrySettings() {}
}
