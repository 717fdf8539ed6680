package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.TableKeys;

/**
 * Row of a rollout or of a taken-back version, decoded as generic JSON.
 *
 * @param key key of the row
 * @param revision revision of the row
 * @param fields fields of the value, and the names in the key
 */
record RowState(String key, long revision, ObjectNode fields) {

  static final String ROLLOUT_PREFIX = TableKeys.ROLLOUT_PREFIX;
  static final String TAKEN_BACK_PREFIX = TableKeys.TAKEN_BACK_PREFIX;
  private static final String UNREADABLE = "UNREADABLE";

  /** Decodes a row; a value that is not a JSON object gets the state {@code UNREADABLE}. */
  static RowState of(Row row) {
    ObjectNode fields = Output.object();
    String[] segments = row.key().split("/", 3);
    fields.put("service", segments.length > 1 ? segments[1] : "");
    if (segments.length > 2) {
      fields.put("version", segments[2]);
    }
    try {
      JsonNode value = ConfigCodec.mapper().readTree(row.value());
      if (value instanceof ObjectNode object) {
        fields.setAll(object);
      } else {
        fields.put("state", UNREADABLE);
      }
    } catch (IOException e) {
      fields.put("state", UNREADABLE);
    }
    return new RowState(row.key(), row.revision(), fields);
  }

  boolean isRollout() {
    return key.startsWith(ROLLOUT_PREFIX);
  }

  /** Returns the row as a line for people. */
  String line() {
    if (text("state").equals(UNREADABLE)) {
      return "row " + key + " is unreadable";
    }
    return isRollout() ? formatRollout() : formatTakenBack();
  }

  private String formatRollout() {
    return "rollout of %s from %s to %s: %s, share %s, by %s, updated %s%s"
        .formatted(
            text("service"),
            text("from"),
            text("to"),
            text("state"),
            text("share"),
            text("by"),
            text("updatedAt"),
            formatReason());
  }

  private String formatTakenBack() {
    return "taken back: %s version %s, operator %s, at %s%s"
        .formatted(
            text("service"), text("version"), text("operator"), text("time"), formatReason());
  }

  private String formatReason() {
    String reason = fields.path("reason").asText("");
    return reason.isEmpty() ? "" : ", reason: " + reason;
  }

  private String text(String field) {
    return fields.path(field).asText("unknown");
  }
}
