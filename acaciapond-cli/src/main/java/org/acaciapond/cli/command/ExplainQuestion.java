package org.acaciapond.cli.command;

import java.util.Optional;

/**
 * Request that a node is asked about.
 *
 * @param host Host header
 * @param path path and query
 * @param method HTTP method
 * @param keyFile file with the key of a client account, {@code -} for the standard input
 */
public record ExplainQuestion(String host, String path, String method, Optional<String> keyFile) {

  /** Question of a command that asks none. */
  public static final ExplainQuestion NONE = new ExplainQuestion("", "", "", Optional.empty());
}
