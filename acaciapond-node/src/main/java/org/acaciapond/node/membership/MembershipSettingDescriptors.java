package org.acaciapond.node.membership;

import java.util.List;
import org.acaciapond.common.settings.SettingDescriptor;
import org.acaciapond.common.settings.Settings;
import org.acaciapond.common.settings.SettingsErrorCode;
import org.acaciapond.common.settings.SettingsException;
import org.acaciapond.protocol.transport.TlsFiles;
import org.acaciapond.protocol.transport.TransportOptions;
import org.jspecify.annotations.Nullable;

/** Descriptors of the settings of membership and of the connections between nodes. */
public final class MembershipSettingDescriptors {

  /** Interval between checks of the seed row. */
  public static final SettingDescriptor<Long> SEEDS_INTERVAL_MS =
      SettingDescriptor.integer(
          "seeds_interval_ms",
          "Interval between checks of the platform's row of seeds.",
          30_000L,
          100,
          3_600_000);

  /** Path of the private key of this node. */
  public static final SettingDescriptor<String> PEER_TLS_KEY_PATH =
      SettingDescriptor.string(
          "peer_tls_key_path", "PEM file of the private key for mutual TLS between nodes.", "");

  /** Path of the certificate of this node. */
  public static final SettingDescriptor<String> PEER_TLS_CERTIFICATE_PATH =
      SettingDescriptor.string(
          "peer_tls_certificate_path", "PEM file of the certificate of this node.", "");

  /** Path of the trusted certificate authorities. */
  public static final SettingDescriptor<String> PEER_TLS_TRUST_PATH =
      SettingDescriptor.string(
          "peer_tls_trust_path", "PEM file of the authorities of trusted nodes.", "");

  /** All settings of this package. */
  public static final List<SettingDescriptor<?>> ALL =
      List.of(SEEDS_INTERVAL_MS, PEER_TLS_KEY_PATH, PEER_TLS_CERTIFICATE_PATH, PEER_TLS_TRUST_PATH);

  private MembershipSettingDescriptors() {}

  /** Returns the options of peer connections; TLS is enabled if all three TLS files are set. */
  public static TransportOptions transportOptions(Settings settings) {
    return TransportOptions.DEFAULTS.withTls(tlsFiles(settings));
  }

  private static @Nullable TlsFiles tlsFiles(Settings settings) {
    TlsFiles files =
        new TlsFiles(
            settings.get(PEER_TLS_KEY_PATH),
            settings.get(PEER_TLS_CERTIFICATE_PATH),
            settings.get(PEER_TLS_TRUST_PATH));
    List<String> paths = List.of(files.keyPath(), files.certificatePath(), files.trustPath());
    long unset = paths.stream().filter(String::isEmpty).count();
    if (unset == paths.size()) {
      return null;
    }
    if (unset > 0) {
      throw new SettingsException(
          SettingsErrorCode.SETTINGS_INVALID,
          "TLS between nodes needs all of peer_tls_key_path, peer_tls_certificate_path and"
              + " peer_tls_trust_path",
          null);
    }
    return files;
  }
}
