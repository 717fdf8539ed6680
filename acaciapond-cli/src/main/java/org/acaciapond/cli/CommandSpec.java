package org.acaciapond.cli;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import org.acaciapond.cli.command.ApplyCommand;
import org.acaciapond.cli.command.Command;
import org.acaciapond.cli.command.ExplainCommand;
import org.acaciapond.cli.command.HistoryCommand;
import org.acaciapond.cli.command.RolloutCommand;
import org.acaciapond.cli.command.StatusCommand;
import org.acaciapond.cli.command.TakeBackCommand;
import org.acaciapond.cli.command.ValidateCommand;
import org.acaciapond.cli.command.WatchCommand;

/** Commands with their arguments and the options that only they accept. */
enum CommandSpec {
  VALIDATE("validate", "FILE", 1, Set.of(), new ValidateCommand()),
  APPLY("apply", "FILE [--expect SEQUENCE]", 1, Set.of("expect"), new ApplyCommand()),
  STATUS("status", "[--node IP:ADMINPORT]...", 0, Set.of("node"), new StatusCommand()),
  HISTORY("history", "[--limit N]", 0, Set.of("limit"), new HistoryCommand()),
  WATCH("watch", "", 0, Set.of(), new WatchCommand()),
  ROLLOUT("rollout", "SERVICE VERSION --by DURATION", 2, Set.of("by"), new RolloutCommand()),
  TAKE_BACK(
      "take-back", "SERVICE VERSION [--reason TEXT]", 2, Set.of("reason"), new TakeBackCommand()),
  EXPLAIN(
      "explain",
      "--node IP:PORT --host HOST --path PATH [--method METHOD] [--key-file FILE]",
      0,
      Set.of("node", "host", "path", "method", "key-file"),
      new ExplainCommand());

  private final String word;
  private final String usage;
  private final int argumentCount;
  private final Set<String> options;
  private final Command command;

  CommandSpec(String word, String usage, int argumentCount, Set<String> options, Command command) {
    this.word = word;
    this.usage = usage;
    this.argumentCount = argumentCount;
    this.options = options;
    this.command = command;
  }

  static Optional<CommandSpec> of(String word) {
    return Arrays.stream(values()).filter(spec -> spec.word.equals(word)).findFirst();
  }

  String usage() {
    return ("acaciapond " + word + " " + usage).stripTrailing();
  }

  int argumentCount() {
    return argumentCount;
  }

  /** Returns whether the command accepts an option that not all commands accept. */
  boolean accepts(String option) {
    return options.contains(option);
  }

  Command command() {
    return command;
  }
}
