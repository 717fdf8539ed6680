package org.acaciapond.config.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** JSON tree with the position of each value and field name in the text. */
final class PositionedTree {

  private final JsonNode root;
  private final Map<String, TextLocation> values;
  private final Map<String, TextLocation> names;

  PositionedTree(JsonNode root, Map<String, TextLocation> values, Map<String, TextLocation> names) {
    this.root = root;
    this.values = new HashMap<>(values);
    this.names = new HashMap<>(names);
  }

  JsonNode root() {
    return root;
  }

  /** Returns the position of the value at a JSON pointer. */
  TextLocation valueAt(String pointer) {
    return values.getOrDefault(pointer, TextLocation.START);
  }

  /** Returns the position of the name of the field at a JSON pointer. */
  TextLocation nameAt(String pointer) {
    return names.getOrDefault(pointer, valueAt(pointer));
  }

  /** Appends a field name or an index to a JSON pointer. */
  static String child(String pointer, Object step) {
    return pointer + "/" + step.toString().replace("~", "~0").replace("/", "~1");
  }
}
