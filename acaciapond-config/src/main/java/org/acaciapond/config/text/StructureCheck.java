package org.acaciapond.config.text;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Check of a tree against the published JSON schema. */
final class StructureCheck {

  static final String SCHEMA_RESOURCE = "config.schema.json";

  private static final Schema SCHEMA = loadSchema();

  private final PositionedTree tree;
  private final ProblemCollector problems;

  private StructureCheck(PositionedTree tree, ProblemCollector problems) {
    this.tree = tree;
    this.problems = problems;
  }

  /** Reports every violation of the schema. */
  static void check(PositionedTree tree, ProblemCollector problems) {
    StructureCheck check = new StructureCheck(tree, problems);
    SCHEMA.validate(tree.root()).forEach(check::report);
  }

  private static Schema loadSchema() {
    try (InputStream in = StructureCheck.class.getResourceAsStream(SCHEMA_RESOURCE)) {
      if (in == null) {
        throw new IllegalStateException(
            "the schema " + SCHEMA_RESOURCE + " is not on the class path");
      }
      return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void report(Error error) {
    String pointer = toPointer(error.getInstanceLocation());
    switch (error.getKeyword()) {
      case "additionalProperties" -> reportUnknownField(error, pointer);
      case "required" ->
          add(pointer, Rule.MISSING_FIELD, "the field \"" + error.getProperty() + "\" is missing");
      case "type" -> reportType(error, pointer);
      case "minimum", "maximum" -> reportBound(error, pointer);
      case "minItems" ->
          add(pointer, Rule.EMPTY_LIST, fieldName(pointer) + " must have at least one entry");
      case "pattern", "maxLength" -> reportPattern(error, pointer);
      default -> add(pointer, Rule.WRONG_TYPE, error.getMessage());
    }
  }

  private void reportUnknownField(Error error, String pointer) {
    String name = error.getProperty();
    TextLocation location = tree.nameLocation(PositionedTree.childPointer(pointer, name));
    List<String> known = new ArrayList<>();
    Optional.ofNullable(schemaOf(error).get("properties"))
        .ifPresent(properties -> properties.fieldNames().forEachRemaining(known::add));
    Optional<String> spelling = FieldHints.findWithOtherSpelling(name, known);
    Optional<String> unit = FieldHints.findWithOtherUnit(name, known);
    if (spelling.isEmpty() && unit.isPresent()) {
      problems.add(
          location,
          Rule.UNIT_MISTAKE,
          "unknown field \"%s\"; the field is \"%s\", in %s"
              .formatted(name, unit.get(), FieldHints.unitOf(unit.get()).orElseThrow()));
      return;
    }
    String hint = spelling.map(field -> "; did you mean \"" + field + "\"?").orElse("");
    problems.add(location, Rule.UNKNOWN_FIELD, "unknown field \"" + name + "\"" + hint);
  }

  private void reportType(Error error, String pointer) {
    JsonNode value = tree.root().at(pointer);
    String field = fieldName(pointer);
    Optional<String> unit = FieldHints.unitOf(field);
    if (unit.isPresent() && value.isTextual() && FieldHints.isQuantity(value.textValue())) {
      add(
          pointer,
          Rule.UNIT_MISTAKE,
          "%s must be a plain number of %s, not \"%s\""
              .formatted(field, unit.get(), value.textValue()));
      return;
    }
    String expected = schemaOf(error).path("type").asText();
    add(
        pointer,
        Rule.WRONG_TYPE,
        "%s must be of type %s, not %s"
            .formatted(field, expected, value.getNodeType().name().toLowerCase(Locale.ROOT)));
  }

  private void reportBound(Error error, String pointer) {
    JsonNode schema = schemaOf(error);
    String field = fieldName(pointer);
    add(
        pointer,
        Rule.OUT_OF_BOUNDS,
        "%s is %s; it must be from %s to %s%s"
            .formatted(
                field,
                tree.root().at(pointer).asText(),
                schema.path("minimum").asText(),
                schema.path("maximum").asText(),
                FieldHints.unitOf(field).map(unit -> " " + unit).orElse("")));
  }

  private void reportPattern(Error error, String pointer) {
    boolean path = fieldName(pointer).equals("path");
    add(
        pointer,
        path ? Rule.BAD_PATH : Rule.BAD_NAME,
        path
            ? "a path must start with \"/\" and have at most 1024 characters of printable ASCII"
                + " without \"?\" and \"#\""
            : "%s must match %s"
                .formatted(fieldName(pointer), schemaOf(error).path("pattern").asText()));
  }

  /** Returns the schema object that holds the keyword of an error. */
  private static JsonNode schemaOf(Error error) {
    String fragment = error.getSchemaLocation().getFragment().toString();
    return SCHEMA.getSchemaNode().at(fragment.substring(0, fragment.lastIndexOf('/')));
  }

  private void add(String pointer, Rule rule, String message) {
    problems.add(tree.valueLocation(pointer), rule, message);
  }

  private static String toPointer(NodePath path) {
    String pointer = "";
    for (int i = 0; i < path.getNameCount(); i++) {
      pointer = PositionedTree.childPointer(pointer, path.getElement(i));
    }
    return pointer;
  }

  /** Returns the last field name of a pointer; for a list entry, this is the name of the list. */
  private static String fieldName(String pointer) {
    String[] steps = pointer.split("/");
    for (int i = steps.length - 1; i > 0; i--) {
      if (!steps[i].chars().allMatch(Character::isDigit)) {
        return steps[i].replace("~1", "/").replace("~0", "~");
      }
    }
    return "the configuration";
  }
}
