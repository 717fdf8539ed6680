package org.acaciapond.platform.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigVersion;

/**
 * Content of the row {@code config/head}.
 *
 * @param epoch epoch of the newest accepted edit
 * @param sequence position of the newest accepted edit
 * @param digest digest of its object
 * @param editId its identity
 * @param operator who made it
 */
public record ConfigHead(long epoch, long sequence, String digest, String editId, String operator) {

  /** Key of the row. */
  public static final String KEY = "config/head";

  /** Returns the version that it names. */
  public ConfigVersion version() {
    return new ConfigVersion(epoch, sequence, digest);
  }

  /** Encodes it as the value of the row. */
  public byte[] encode() {
    try {
      return ConfigCodec.mapper().writeValueAsString(this).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record of plain values", e);
    }
  }

  /** Decodes the value of the row. */
  public static ConfigHead decode(byte[] value) {
    try {
      return ConfigCodec.mapper().readValue(value, ConfigHead.class);
    } catch (IOException e) {
      throw new PlatformException(PlatformErrorCode.PLATFORM_PROTOCOL, "malformed head", e);
    }
  }
}
