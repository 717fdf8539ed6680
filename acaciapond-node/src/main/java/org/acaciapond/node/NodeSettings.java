package org.acaciapond.node;

import java.util.List;
import java.util.stream.Stream;
import org.acaciapond.common.settings.SettingDescriptor;
import org.acaciapond.node.distribution.DistributionSettings;

/** Descriptors of the settings of a node. */
public final class NodeSettings {

  /** Identity of the host. */
  public static final SettingDescriptor<String> HOST_ID =
      SettingDescriptor.string("host_id", "Identity of the host, unique in the fleet.", null);

  /** Service of the target on this host. */
  public static final SettingDescriptor<String> SERVICE =
      SettingDescriptor.string("service", "Service of the target on this host.", null);

  /** Failure domain of the host. */
  public static final SettingDescriptor<String> FAILURE_DOMAIN =
      SettingDescriptor.string("failure_domain", "Failure domain of the host.", null);

  /** Region of the host. */
  public static final SettingDescriptor<String> REGION =
      SettingDescriptor.string("region", "Region of the host.", "default");

  /** IP address of the host. */
  public static final SettingDescriptor<String> IP =
      SettingDescriptor.string("ip", "IP address that other nodes reach this host by.", null);

  /** Port of the outbound listener. */
  public static final SettingDescriptor<Long> OUTBOUND_PORT =
      port("outbound_port", "Loopback port for calls of the own target.");

  /** Port of the inbound listener. */
  public static final SettingDescriptor<Long> INBOUND_PORT =
      port("inbound_port", "Port for calls to the own target.");

  /** Port of the peer listener. */
  public static final SettingDescriptor<Long> PEER_PORT =
      port("peer_port", "Port for other nodes.");

  /** Port of the admin listener. */
  public static final SettingDescriptor<Long> ADMIN_PORT =
      port("admin_port", "Loopback port for health, status, metrics and the target.");

  /** Addresses of nodes to contact first. */
  public static final SettingDescriptor<String[]> SEEDS =
      SettingDescriptor.strings("seeds", "Peer addresses (ip:port) of nodes to contact first.");

  /** Address of the platform. */
  public static final SettingDescriptor<String> PLATFORM =
      SettingDescriptor.string("platform", "Address (ip:port) of the platform.", null);

  /** Interval between reads of the head. */
  public static final SettingDescriptor<Long> POLL_INTERVAL_MS =
      SettingDescriptor.integer(
          "poll_interval_ms", "Interval between reads of the head.", 500L, 50, 60_000);

  /** Interval between announcements. */
  public static final SettingDescriptor<Long> ANNOUNCE_INTERVAL_MS =
      SettingDescriptor.integer(
          "announce_interval_ms",
          "Interval between announcements to other nodes.",
          1_000L,
          50,
          60_000);

  /** All settings of a node. */
  public static final List<SettingDescriptor<?>> ALL =
      withDistribution(
          HOST_ID,
          SERVICE,
          FAILURE_DOMAIN,
          REGION,
          IP,
          OUTBOUND_PORT,
          INBOUND_PORT,
          PEER_PORT,
          ADMIN_PORT,
          SEEDS,
          PLATFORM,
          POLL_INTERVAL_MS,
          ANNOUNCE_INTERVAL_MS);

  private NodeSettings() {}

  private static List<SettingDescriptor<?>> withDistribution(SettingDescriptor<?>... own) {
    return Stream.concat(Stream.of(own), DistributionSettings.ALL.stream())
        .<SettingDescriptor<?>>map(descriptor -> descriptor)
        .toList();
  }

  private static SettingDescriptor<Long> port(String name, String description) {
    return SettingDescriptor.integer(name, description, null, 0, 65_535);
  }
}
