package org.acaciapond.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.cli.command.ExplainQuestion;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;

/** Options of the command {@code explain}. */
final class ExplainOptions {

  private static final String METHOD_PATTERN = "[A-Za-z]{1,32}";

  private final OptionSpec<String> host;
  private final OptionSpec<String> path;
  private final OptionSpec<String> method;
  private final OptionSpec<String> keyFile;

  /** Adds the options to a parser. */
  ExplainOptions(OptionParser parser) {
    host = parser.accepts("host").withRequiredArg();
    path = parser.accepts("path").withRequiredArg();
    method = parser.accepts("method").withRequiredArg().defaultsTo("GET");
    keyFile = parser.accepts("key-file").withRequiredArg();
  }

  /**
   * Returns the question; all problems of the options are reported in one error.
   *
   * @param refused problems that were found before
   */
  ExplainQuestion parse(OptionSet set, List<String> nodes, List<String> refused) {
    List<String> problems = new ArrayList<>(refused);
    if (nodes.size() != 1) {
      problems.add("--node must be given once");
    }
    for (String node : nodes) {
      try {
        Address.parse(node);
      } catch (CliException e) {
        problems.add("--node: " + e.text());
      }
    }
    if (set.valuesOf(host).size() != 1) {
      problems.add("--host must be given once");
    }
    if (set.valuesOf(path).size() != 1 || !set.valuesOf(path).get(0).startsWith("/")) {
      problems.add("--path must be given once and begin with a slash");
    }
    if (set.valuesOf(method).size() != 1 || !set.valuesOf(method).get(0).matches(METHOD_PATTERN)) {
      problems.add("--method must be one HTTP method");
    }
    if (set.valuesOf(keyFile).size() > 1) {
      problems.add("--key-file must not be repeated");
    }
    if (!problems.isEmpty()) {
      throw new CliException(
          CliErrorCode.INVALID_INPUT,
          String.join("\n", problems) + "\nusage: " + CommandSpec.EXPLAIN.usage(),
          null);
    }
    return new ExplainQuestion(
        set.valueOf(host),
        set.valueOf(path),
        set.valueOf(method),
        Optional.ofNullable(set.valueOf(keyFile)));
  }
}
