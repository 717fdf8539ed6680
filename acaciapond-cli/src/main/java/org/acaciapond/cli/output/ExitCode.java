package org.acaciapond.cli.output;

/** Exit codes of the binary; scripts rely on them. */
public enum ExitCode {
  /** The command did what it was asked to do, or it was done already. */
  DONE(0),
  /** Arguments or text are invalid; nothing was changed. */
  INVALID_INPUT(2),
  /** Another edit or a recorded fact stands against the command; nothing was changed. */
  CONFLICT(3),
  /** The platform is unavailable, or it is not known whether a write took effect. */
  UNAVAILABLE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the code that the process exits with. */
  public int code() {
    return code;
  }
}
