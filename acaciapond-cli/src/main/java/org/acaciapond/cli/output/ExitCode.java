package org.acaciapond.cli.output;

/** Exit codes of the binary; scripts rely on them. */
public enum ExitCode {
  /** The command succeeded, or its effect was present already. */
  DONE(0),
  /** The arguments or the text are invalid; nothing was changed. */
  INVALID_INPUT(2),
  /** Another edit or the recorded state conflicts with the command; nothing was changed. */
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
