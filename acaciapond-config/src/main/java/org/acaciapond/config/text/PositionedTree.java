package org.acaciapond.config.text;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** JSON tree with the position of each value and field name in the text. */
final class PositionedTree {

  private final JsonNode root;
  private final Map<String, TextLocation> valueLocations;
  private final Map<String, TextLocation> nameLocations;

  PositionedTree(
      JsonNode root,
      Map<String, TextLocation> valueLocations,
      Map<String, TextLocation> nameLocations) {
    this.root = root;
    this.valueLocations = new HashMap<>(valueLocations);
    this.nameLocations = new HashMap<>(nameLocations);
  }

  JsonNode root() {
    return root;
  }

  /** Returns the position of the value at a JSON pointer. */
  TextLocation valueLocation(String pointer) {
    return valueLocations.getOrDefault(pointer, TextLocation.START);
  }

  /** Returns the position of the name of the field at a JSON pointer. */
  TextLocation nameLocation(String pointer) {
    return nameLocations.getOrDefault(pointer, valueLocation(pointer));
  }

  /** Appends a field name or an index to a JSON pointer. */
  static String childPointer(String pointer, Object step) {
    return pointer + "/" + step.toString().replace("~", "~0").replace("/", "~1");
  }
}
