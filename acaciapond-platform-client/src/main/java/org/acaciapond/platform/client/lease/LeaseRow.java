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
 * @param holder identity of the holder, or empty when the lease was released
 * @param epoch grows each time the lease changes hands
 * @param durationMs time without a new revision after which others may take it
 * @param writeNumber number of the write among those of its holder; without it, a renewal whose
 *     answer is lost could be taken for an earlier one and counted from a later time
 */
public record LeaseRow(
    String holder,
    long epoch,
    @JsonProperty("duration_ms") long durationMs,
    @JsonProperty("write_number") long writeNumber) {

  /** Encodes it as the value of the row. */
  public byte[] encode() {
    try {
      return ConfigCodec.mapper().writeValueAsString(this).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record of plain values", e);
    }
  }

  /** Decodes the value of the row. */
  public static LeaseRow decode(byte[] value) {
    try {
      return ConfigCodec.mapper().readValue(value, LeaseRow.class);
    } catch (IOException e) {
      throw new PlatformException(PlatformErrorCode.PLATFORM_PROTOCOL, "malformed lease", e);
    }
  }
}
