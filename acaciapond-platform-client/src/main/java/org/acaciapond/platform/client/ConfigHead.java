package org.acaciapond.platform.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Value of the row {@code config/head}, which names the newest accepted edit.
 *
 * @param epoch epoch of the newest accepted edit
 * @param sequence sequence of the newest accepted edit
 * @param digest digest of the object of the edit
 * @param editId identifier of the edit
 * @param operator name of the operator who made the edit
 */
public record ConfigHead(long epoch, long sequence, String digest, String editId, String operator) {

  /** Key of the row. */
  public static final String KEY = "config/head";

  /** Returns the version that the head names. */
  public ConfigVersion version() {
    return new ConfigVersion(epoch, sequence, digest);
  }

  /** Encodes the head as the value of its row. */
  public byte[] encode() {
    try {
      return ConfigCodec.mapper().writeValueAsString(this).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode the head as JSON", e);
    }
  }

  /** Decodes the value of the row; fails with {@link PlatformException} if it is malformed. */
  public static ConfigHead decode(byte[] value) {
    try {
      return ConfigCodec.mapper().readValue(value, ConfigHead.class);
    } catch (IOException e) {
      throw new PlatformException(
          PlatformErrorCode.PLATFORM_PROTOCOL, "malformed value of row " + KEY, e);
    }
  }
}
