package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.acaciapond.cli.output.Output;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.TableKeys;

/**
 * Row of a rollout or a taken-back fact, read as generic JSON.
 *
 * @param key key of the row
 * @param revision its revision
 * @param fields fields of its value, with what the key says
 */
record RowState(String key, long revision, ObjectNode fields) {

  static final String ROLLOUT_PREFIX = TableKeys.ROLLOUT_PREFIX;
  static final String TAKEN_BACK_PREFIX = TableKeys.TAKEN_BACK_PREFIX;
  private static final String UNREADABLE = "UNREADABLE";

  /** Decodes a row; a value that is no JSON object is shown as unreadable. */
  static RowState of(Row row) {
    ObjectNode fields = Output.object();
    String[] steps = row.key().split("/", 3);
    fields.put("service", steps.length > 1 ? steps[1] : "");
    if (steps.length > 2) {
      fields.put("version", steps[2]);
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
    return isRollout() ? rolloutLine() : takenBackLine();
  }

  private String rolloutLine() {
    return "rollout of %s from %s to %s: %s, share %s, by %s, updated %s%s"
        .formatted(
            text("service"),
            text("from"),
            text("to"),
            text("state"),
            text("share"),
            text("by"),
            text("updatedAt"),
            reason());
  }

  private String takenBackLine() {
    return "taken back: %s version %s, operator %s, at %s%s"
        .formatted(text("service"), text("version"), text("operator"), text("time"), reason());
  }

  private String reason() {
    String reason = fields.path("reason").asText("");
    return reason.isEmpty() ? "" : ", reason: " + reason;
  }

  private String text(String field) {
    return fields.path(field).asText("unknown");
  }
}
