package org.acaciapond.cli.output;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the command line. */
public enum CliErrorCode implements ErrorCode {
  /** An argument or the text violates a rule. */
  INVALID_INPUT(ExitCode.INVALID_INPUT),
  /** Another edit or the recorded state conflicts with the command. */
  CONFLICT(ExitCode.CONFLICT),
  /** The platform gave no usable response; nothing was changed. */
  UNAVAILABLE(ExitCode.UNAVAILABLE),
  /** It is not known whether the write took effect. */
  UNKNOWN(ExitCode.UNAVAILABLE);

  private final ExitCode exitCode;

  CliErrorCode(ExitCode exitCode) {
    this.exitCode = exitCode;
  }

  /** Returns the exit code of a command that ends with this error. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
