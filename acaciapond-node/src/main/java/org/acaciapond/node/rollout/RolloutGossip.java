package org.acaciapond.node.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.TableKeys;
import org.acaciapond.rollout.state.RolloutRow;
import org.acaciapond.rollout.state.TakenBackVersion;

/** Keys and encodings of rollout rows and taken-back versions in the table and in gossip. */
final class RolloutGossip {

  static final String ROW_PREFIX = TableKeys.ROLLOUT_PREFIX;
  static final String GRANT_PREFIX = "grant/";
  static final String TAKEN_BACK_PREFIX = TableKeys.TAKEN_BACK_PREFIX;

  /** Revision of all taken-back entries; they are never replaced. */
  private static final long TAKEN_BACK_REVISION = 1;

  private static final int TAKEN_BACK_KEY_PARTS = 3;

  /** Limit that keeps the encoded value within one gossip entry. */
  private static final int MAX_REASON_CHARS = 160;

  /** Limit below the maximum length of a gossip value, 700 bytes. */
  private static final int MAX_TAKEN_BACK_BYTES = 600;

  private static final byte[] SHORTENED_TAKEN_BACK =
      encodeTakenBack("", "", "the reason is in the table");

  private RolloutGossip() {}

  /**
   * Row of a rollout as of one revision of the table.
   *
   * @param row content
   * @param revision revision in the table
   */
  record RecordedRow(RolloutRow row, long revision) {}

  /**
   * Value of a taken-back entry.
   *
   * @param operator who took the version back
   * @param time when, in ISO 8601
   * @param reason why
   */
  record TakenBackValue(String operator, String time, String reason) {}

  static String rowKey(String service) {
    return ROW_PREFIX + service;
  }

  static String takenBackKey(TakenBackVersion version) {
    return TAKEN_BACK_PREFIX + version.service() + "/" + version.version();
  }

  static byte[] encode(Object value) {
    try {
      return ConfigCodec.mapper().writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a row as JSON", e);
    }
  }

  static byte[] encodeTakenBack(String operator, String time, String reason) {
    int length = Math.min(reason.length(), MAX_REASON_CHARS);
    return encode(new TakenBackValue(operator, time, reason.substring(0, length)));
  }

  static GossipEntry grantEntry(RecordedRow recorded) {
    return new GossipEntry(
        GRANT_PREFIX + recorded.row().service(), recorded.revision(), encode(recorded.row()));
  }

  /**
   * Returns the gossip entry of a taken-back version. Gossip refuses long values, but a take-back
   * must spread whatever reason an operator gave, so a value that is too long is replaced by a
   * short one.
   */
  static GossipEntry takenBackEntry(String key, byte[] value) {
    byte[] bounded = value.length <= MAX_TAKEN_BACK_BYTES ? value : SHORTENED_TAKEN_BACK;
    return new GossipEntry(key, TAKEN_BACK_REVISION, bounded);
  }

  static Optional<RecordedRow> decodeGrant(GossipEntry entry) {
    return decodeRow(entry.value())
        .filter(row -> entry.key().equals(GRANT_PREFIX + row.service()))
        .map(row -> new RecordedRow(row, entry.revision()));
  }

  static Optional<RecordedRow> decodeRow(Row row) {
    return decodeRow(row.value())
        .filter(decoded -> row.key().equals(rowKey(decoded.service())))
        .map(decoded -> new RecordedRow(decoded, row.revision()));
  }

  private static Optional<RolloutRow> decodeRow(byte[] value) {
    try {
      return Optional.ofNullable(ConfigCodec.mapper().readValue(value, RolloutRow.class))
          .filter(RolloutGossip::isComplete);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Returns whether all fields are present and valid; the decoder leaves absent fields null. */
  private static boolean isComplete(RolloutRow row) {
    boolean named =
        Stream.of(row.service(), row.from(), row.to(), row.reason()).allMatch(Objects::nonNull);
    boolean dated =
        Stream.of(row.startedAt(), row.by(), row.updatedAt()).allMatch(Objects::nonNull);
    return named && dated && row.state() != null && row.share() >= 0 && row.share() <= 1;
  }

  static Optional<TakenBackVersion> decodeTakenBackKey(String key) {
    String[] parts = key.split("/", TAKEN_BACK_KEY_PARTS);
    return parts.length == TAKEN_BACK_KEY_PARTS && key.startsWith(TAKEN_BACK_PREFIX)
        ? Optional.of(new TakenBackVersion(parts[1], parts[2]))
        : Optional.empty();
  }
}
