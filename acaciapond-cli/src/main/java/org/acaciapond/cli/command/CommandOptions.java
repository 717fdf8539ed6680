package org.acaciapond.cli.command;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Arguments and options of one command, as the operator gave them.
 *
 * @param arguments arguments after the name of the command
 * @param operator name of the operator
 * @param nodes addresses of admin listeners
 * @param expect sequence that the head must have
 * @param by time until the deadline of a rollout
 * @param reason reason for taking a version back
 * @param limit maximum number of edits that the history shows
 * @param question request that a node is asked about
 */
public record CommandOptions(
    List<String> arguments,
    String operator,
    List<String> nodes,
    Optional<Long> expect,
    Optional<Duration> by,
    String reason,
    int limit,
    ExplainQuestion question) {

  /** Creates options. */
  public CommandOptions {
    arguments = List.copyOf(arguments);
    nodes = List.copyOf(nodes);
  }
}
