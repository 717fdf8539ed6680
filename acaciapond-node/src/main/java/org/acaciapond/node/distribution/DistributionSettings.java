package org.acaciapond.node.distribution;

import java.util.List;
import org.acaciapond.common.settings.SettingDescriptor;

/** Descriptors of the configuration distribution settings. */
public final class DistributionSettings {

  /** Value of {@link #DISTRIBUTION}: pollers read the platform and relays distribute versions. */
  public static final String RELAY = "relay";

  /** Value of {@link #DISTRIBUTION}: each node reads the platform; baseline for comparisons. */
  public static final String POLL = "poll";

  /** Way in which configuration versions reach a node. */
  public static final SettingDescriptor<String> DISTRIBUTION =
      new SettingDescriptor<>(
          "distribution",
          "How versions arrive: relay (poller and relays) or poll (each node reads the platform).",
          String.class,
          RELAY,
          value -> value.equals(RELAY) || value.equals(POLL) ? null : "must be relay or poll");

  /** All configuration distribution settings. */
  public static final List<SettingDescriptor<?>> ALL = List.of(DISTRIBUTION);

  private DistributionSettings() {}
}
