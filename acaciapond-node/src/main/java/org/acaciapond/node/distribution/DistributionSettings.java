package org.acaciapond.node.distribution;

import java.util.List;
import org.acaciapond.common.settings.SettingDescriptor;

/** Descriptors of the settings of distribution. */
public final class DistributionSettings {

  /** Value of {@link #DISTRIBUTION} for relays. */
  public static final String RELAY = "relay";

  /** Value of {@link #DISTRIBUTION} for the baseline. */
  public static final String POLL = "poll";

  /** How configuration versions arrive. */
  public static final SettingDescriptor<String> DISTRIBUTION =
      new SettingDescriptor<>(
          "distribution",
          "How versions arrive: relay (poller and relays) or poll (each node reads the platform).",
          String.class,
          RELAY,
          value -> value.equals(RELAY) || value.equals(POLL) ? null : "must be relay or poll");

  /** All settings of distribution. */
  public static final List<SettingDescriptor<?>> ALL = List.of(DISTRIBUTION);

  private DistributionSettings() {}
}
