package org.acaciapond.config.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * JSON reader that builds a tree with the position of each value and field name.
 *
 * <p>Reading stops at a syntax error, because the text after it cannot be parsed reliably.
 * Duplicate fields and trailing text are reported, and the rest is still read.
 */
final class PositionedReader {

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final JsonParser parser;
  private final ProblemCollector problems;
  private final Map<String, TextLocation> valueLocations = new HashMap<>();
  private final Map<String, TextLocation> nameLocations = new HashMap<>();

  private PositionedReader(JsonParser parser, ProblemCollector problems) {
    this.parser = parser;
    this.problems = problems;
  }

  /** Reads a text; empty when it has a syntax error or is nested too deeply. */
  static Optional<PositionedTree> read(String text, ProblemCollector problems) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new PositionedReader(parser, problems).readDocument();
    } catch (NestingException e) {
      problems.add(
          e.location,
          Rule.NESTING_TOO_DEEP,
          "objects and arrays are nested deeper than " + ConfigTextValidator.MAX_DEPTH);
    } catch (JsonProcessingException e) {
      problems.add(TextLocation.of(e.getLocation()), Rule.SYNTAX, syntaxMessage(e));
    } catch (IOException e) {
      throw new IllegalStateException("reading a string failed", e);
    }
    return Optional.empty();
  }

  private Optional<PositionedTree> readDocument() throws IOException {
    if (parser.nextToken() == null) {
      problems.add(TextLocation.START, Rule.SYNTAX, "the text is empty");
      return Optional.empty();
    }
    JsonNode root = readValue("", 1);
    checkEnd();
    return Optional.of(new PositionedTree(root, valueLocations, nameLocations));
  }

  private void checkEnd() throws IOException {
    try {
      if (parser.nextToken() != null) {
        reportTrailing(TextLocation.of(parser.currentTokenLocation()));
      }
    } catch (JsonProcessingException e) {
      reportTrailing(TextLocation.of(e.getLocation()));
    }
  }

  private void reportTrailing(TextLocation location) {
    problems.add(location, Rule.TRAILING_TEXT, "text follows the end of the configuration");
  }

  private JsonNode readValue(String pointer, int depth) throws IOException {
    TextLocation location = TextLocation.of(parser.currentTokenLocation());
    valueLocations.put(pointer, location);
    JsonToken token = parser.currentToken();
    if (token.isStructStart() && depth > ConfigTextValidator.MAX_DEPTH) {
      throw new NestingException(location);
    }
    return switch (token) {
      case START_OBJECT -> readObject(pointer, depth);
      case START_ARRAY -> readArray(pointer, depth);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger();
      case VALUE_NUMBER_FLOAT -> readFloat();
      case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(parser.getBooleanValue());
      default -> NODES.nullNode();
    };
  }

  private JsonNode readInteger() throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /** Clamps to finite values, because the schema validator cannot convert infinite ones. */
  private JsonNode readFloat() throws IOException {
    double value = parser.getDoubleValue();
    return NODES.numberNode(Math.max(-Double.MAX_VALUE, Math.min(Double.MAX_VALUE, value)));
  }

  private JsonNode readObject(String pointer, int depth) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      TextLocation location = TextLocation.of(parser.currentTokenLocation());
      parser.nextToken();
      if (object.has(name)) {
        problems.add(location, Rule.DUPLICATE_FIELD, "the field \"" + name + "\" is given twice");
        skipValue(depth + 1);
        continue;
      }
      String child = PositionedTree.childPointer(pointer, name);
      nameLocations.put(child, location);
      object.set(name, readValue(child, depth + 1));
    }
    return object;
  }

  /** Skips the value of a duplicate field; the nesting limit applies to it too. */
  private void skipValue(int depth) throws IOException {
    int openDepth = depth - 1;
    int startDepth = openDepth;
    do {
      JsonToken token = parser.currentToken();
      if (token.isStructStart() && ++openDepth > ConfigTextValidator.MAX_DEPTH) {
        throw new NestingException(TextLocation.of(parser.currentTokenLocation()));
      }
      if (token.isStructEnd()) {
        openDepth--;
      }
    } while (openDepth > startDepth && parser.nextToken() != null);
  }

  private JsonNode readArray(String pointer, int depth) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(PositionedTree.childPointer(pointer, array.size()), depth + 1));
    }
    return array;
  }

  private static String syntaxMessage(JsonProcessingException error) {
    String message = error.getOriginalMessage();
    int lineEnd = message.indexOf("\n");
    return "not JSON: " + (lineEnd < 0 ? message : message.substring(0, lineEnd));
  }

  /** Thrown when the text is nested too deeply. */
  private static final class NestingException extends JsonProcessingException {

    private static final long serialVersionUID = 1L;

    private final transient TextLocation location;

    NestingException(TextLocation location) {
      super("nested too deeply");
      this.location = location;
    }
  }
}
