package org.acaciapond.cli.output;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.acaciapond.config.text.Problem;
import org.acaciapond.config.text.ValidationResult;

/**
 * Printer of the results and errors of one command.
 *
 * <p>In JSON mode, each result or error is one JSON object on one line of the standard output.
 * Error messages for people go to the standard error in both modes.
 */
public final class Output {

  private static final String OUTCOME = "outcome";

  private final PrintStream out;
  private final PrintStream err;
  private final boolean json;

  /** Creates a printer. */
  public Output(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  /** Returns an empty JSON object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Prints a result, as JSON or as lines for people. */
  public void print(JsonNode node, List<String> lines) {
    if (json) {
      out.println(node);
    } else {
      lines.forEach(out::println);
    }
    out.flush();
  }

  /** Prints the outcome of a command, with its details. */
  public void printOutcome(String outcome, ObjectNode fields, String line) {
    ObjectNode node = object().put(OUTCOME, outcome);
    node.setAll(fields);
    print(node, List.of(line));
  }

  /** Prints an error. */
  public void printError(CliException error) {
    err.println("acaciapond: " + error.text());
    if (json) {
      ObjectNode node = object().put(OUTCOME, error.errorCode().name());
      node.put("message", error.text());
      node.setAll(error.details());
      out.println(node);
    }
    flush();
  }

  /** Prints the problems of an invalid text. */
  public void printProblems(ValidationResult result) {
    result.problems().forEach(err::println);
    if (result.omitted() > 0) {
      err.println("acaciapond: " + result.omitted() + " more problems are not shown");
    }
    if (json) {
      ObjectNode node = object().put(OUTCOME, CliErrorCode.INVALID_INPUT.name());
      ArrayNode list = node.putArray("problems");
      result.problems().forEach(problem -> list.add(toJson(problem)));
      if (result.omitted() > 0) {
        node.put("omittedProblems", result.omitted());
      }
      out.println(node);
    }
    flush();
  }

  private void flush() {
    err.flush();
    out.flush();
  }

  private static ObjectNode toJson(Problem problem) {
    return object()
        .put("file", problem.file())
        .put("line", problem.line())
        .put("column", problem.column())
        .put("rule", problem.rule().id())
        .put("message", problem.message());
  }
}
