package org.acaciapond.node;

import java.util.List;
import java.util.stream.Stream;
import org.acaciapond.common.settings.SettingDescriptor;
import org.acaciapond.node.distribution.DistributionSettings;
import org.acaciapond.node.membership.MembershipSettingDescriptors;
import org.acaciapond.node.proxy.RequestPathSettings;
import org.acaciapond.node.telemetry.TelemetrySettings;

/** Descriptors of the node settings. */
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
      SettingDescriptor.string(
          "ip", "IP address under which other nodes connect to this host.", null);

  /** Port of the outbound listener. */
  public static final SettingDescriptor<Long> OUTBOUND_PORT =
      port("outbound_port", "Loopback port for calls by the local target.");

  /** Port of the inbound listener. */
  public static final SettingDescriptor<Long> INBOUND_PORT =
      port("inbound_port", "Port for calls to the local target.");

  /** Port of the peer listener. */
  public static final SettingDescriptor<Long> PEER_PORT =
      port("peer_port", "Port for connections of other nodes.");

  /** Port of the admin listener. */
  public static final SettingDescriptor<Long> ADMIN_PORT =
      port("admin_port", "Loopback port for health, status, metrics and target announcements.");

  /** Addresses of nodes to contact first. */
  public static final SettingDescriptor<String[]> SEEDS =
      SettingDescriptor.strings("seeds", "Peer addresses (ip:port) of nodes to contact first.");

  /** Address of the platform. */
  public static final SettingDescriptor<String> PLATFORM =
      SettingDescriptor.string("platform", "Address (ip:port) of the platform.", null);

  /** Interval between reads of the configuration head. */
  public static final SettingDescriptor<Long> POLL_INTERVAL_MS =
      SettingDescriptor.integer(
          "poll_interval_ms",
          "Interval between reads of the configuration head.",
          500L,
          50,
          60_000);

  /** All settings of a node. */
  public static final List<SettingDescriptor<?>> ALL =
      Stream.of(
              List.of(
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
                  POLL_INTERVAL_MS),
              DistributionSettings.ALL,
              RequestPathSettings.ALL,
              TelemetrySettings.ALL,
              MembershipSettingDescriptors.ALL)
          .<SettingDescriptor<?>>flatMap(List::stream)
          .toList();

  private NodeSettings() {}

  private static SettingDescriptor<Long> port(String name, String description) {
    return SettingDescriptor.integer(name, description, null, 0, 65_535);
  }
}
