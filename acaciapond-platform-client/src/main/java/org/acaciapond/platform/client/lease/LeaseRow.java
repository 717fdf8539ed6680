package org.acaciapond.platform.client.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.platform.client.PlatformErrorCode;
import org.acaciapond.platform.client.PlatformException;

/**
 * Value of the row of a lease.
 *
 * @param holder identifier of the holder, or empty if the lease was released
 * @param epoch number that increases each time the lease is acquired
 * @param durationMs time without a new revision after which other holders may acquire the lease
 * @param writeNumber number of the write among those of its holder; without it, a renewal whose
 *     response is lost could be mistaken for an earlier one and be counted from a later time
 */
public record LeaseRow(
    String holder,
    long epoch,
    @JsonProperty("duration_ms") long durationMs,
    @JsonProperty("write_number") long writeNumber) {

  /** Encodes the value of the row. */
  public byte[] encode() {
    try {
      return ConfigCodec.mapper().writeValueAsString(this).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode the lease as JSON", e);
    }
  }

  /** Decodes the value of the row; fails with {@link PlatformException} if it is malformed. */
  public static LeaseRow decode(byte[] value) {
    try {
      return ConfigCodec.mapper().readValue(value, LeaseRow.class);
    } catch (IOException e) {
      throw new PlatformException(
          PlatformErrorCode.PLATFORM_PROTOCOL, "malformed value of a lease row", e);
    }
  }
}
