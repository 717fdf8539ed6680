package org.acaciapond.cli;

import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.cli.command.CommandOptions;
import org.acaciapond.cli.command.ExplainQuestion;
import org.acaciapond.cli.edit.DurationText;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;

/**
 * Validated arguments of the process.
 *
 * @param spec command
 * @param platform address of the platform
 * @param options arguments and options of the command
 */
record ParsedArguments(CommandSpec spec, Address platform, CommandOptions options) {

  private static final String DEFAULT_PLATFORM = "127.0.0.1:7000";
  private static final int DEFAULT_LIMIT = 50;
  private static final int MAX_LIMIT = 1_000_000;
  private static final int MAX_OPERATOR_LENGTH = 128;
  private static final List<String> COMMAND_OPTIONS =
      List.of("expect", "by", "node", "reason", "limit", "host", "path", "method", "key-file");

  static ParsedArguments parse(String[] args) {
    OptionParser parser = new OptionParser(false);
    parser.accepts("json");
    OptionSpec<String> platform = acceptText(parser, "platform", DEFAULT_PLATFORM);
    OptionSpec<String> operator = acceptText(parser, "operator", System.getProperty("user.name"));
    OptionSpec<String> node = parser.accepts("node").withRequiredArg();
    OptionSpec<String> by = parser.accepts("by").withRequiredArg();
    OptionSpec<String> reason = acceptText(parser, "reason", "taken back by the operator");
    OptionSpec<Long> expect = parser.accepts("expect").withRequiredArg().ofType(Long.class);
    OptionSpec<Integer> limit =
        parser.accepts("limit").withRequiredArg().ofType(Integer.class).defaultsTo(DEFAULT_LIMIT);
    ExplainOptions explain = new ExplainOptions(parser);
    OptionSpec<String> words = parser.nonOptions();
    try {
      OptionSet set = parser.parse(args);
      CommandSpec spec = parseCommand(set.valuesOf(words));
      List<String> nodes = set.valuesOf(node);
      List<String> refused = refusedOptions(spec, set);
      ExplainQuestion question =
          spec == CommandSpec.EXPLAIN ? explain.parse(set, nodes, refused) : ExplainQuestion.NONE;
      if (!refused.isEmpty()) {
        throw invalid(String.join("\n", refused) + "\n" + spec.usage());
      }
      nodes.forEach(Address::parse);
      CommandOptions options =
          new CommandOptions(
              checkArguments(spec, set.valuesOf(words)),
              checkOperator(set.valueOf(operator)),
              nodes,
              Optional.ofNullable(set.valueOf(expect)).map(ParsedArguments::checkSequence),
              Optional.ofNullable(set.valueOf(by)).map(DurationText::parse),
              set.valueOf(reason),
              checkLimit(set.valueOf(limit)),
              question);
      return new ParsedArguments(spec, Address.parse(set.valueOf(platform)), options);
    } catch (OptionException e) {
      throw invalid(String.valueOf(e.getMessage()));
    }
  }

  /** Returns the usage of all commands. */
  static String usage() {
    StringBuilder usage = new StringBuilder("usage:\n");
    for (CommandSpec spec : CommandSpec.values()) {
      usage.append("  ").append(spec.usage()).append('\n');
    }
    return usage.append("options of all: --json --platform IP:PORT --operator NAME").toString();
  }

  private static OptionSpec<String> acceptText(
      OptionParser parser, String name, String defaultValue) {
    return parser.accepts(name).withRequiredArg().defaultsTo(defaultValue);
  }

  private static CommandSpec parseCommand(List<String> words) {
    if (words.isEmpty()) {
      throw invalid("no command given\n" + usage());
    }
    return CommandSpec.of(words.get(0))
        .orElseThrow(() -> invalid("unknown command \"" + words.get(0) + "\"\n" + usage()));
  }

  private static List<String> refusedOptions(CommandSpec spec, OptionSet set) {
    return COMMAND_OPTIONS.stream()
        .filter(option -> set.has(option) && !spec.accepts(option))
        .map(option -> "--" + option + " is not an option of this command")
        .toList();
  }

  private static List<String> checkArguments(CommandSpec spec, List<String> words) {
    List<String> arguments = words.subList(1, words.size());
    if (arguments.size() != spec.argumentCount()) {
      throw invalid("wrong number of arguments\nusage: " + spec.usage());
    }
    return arguments;
  }

  private static String checkOperator(String name) {
    if (name.isBlank()
        || name.length() > MAX_OPERATOR_LENGTH
        || name.chars().anyMatch(Character::isISOControl)) {
      throw invalid("--operator must have 1 to 128 printable characters");
    }
    return name;
  }

  private static long checkSequence(long sequence) {
    if (sequence < 0) {
      throw invalid("--expect must be a sequence, or 0 for no configuration yet");
    }
    return sequence;
  }

  private static int checkLimit(int limit) {
    if (limit < 1 || limit > MAX_LIMIT) {
      throw invalid("--limit must be from 1 to " + MAX_LIMIT);
    }
    return limit;
  }

  private static CliException invalid(String message) {
    return new CliException(CliErrorCode.INVALID_INPUT, message, null);
  }
}
