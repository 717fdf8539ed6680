package org.acaciapond.cli.output;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.acaciapond.common.error.AcaciapondException;
import org.jspecify.annotations.Nullable;

/** Error that ends a command with a message and an exit code. */
public final class CliException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  private final CliErrorCode errorCode;
  private final String text;
  private final transient ObjectNode details;

  /** Creates an exception without details. */
  public CliException(CliErrorCode code, String message, @Nullable Throwable cause) {
    this(code, message, JsonNodeFactory.instance.objectNode(), cause);
  }

  /**
   * Creates an exception.
   *
   * @param details further fields of the JSON output
   */
  public CliException(
      CliErrorCode code, String message, ObjectNode details, @Nullable Throwable cause) {
    super(code, message, cause);
    this.errorCode = code;
    this.text = message;
    this.details = details;
  }

  /** Returns the code. */
  public CliErrorCode errorCode() {
    return errorCode;
  }

  /** Returns the message without the code, for people. */
  public String text() {
    return text;
  }

  /** Returns further fields of the JSON output. */
  public ObjectNode details() {
    return details;
  }
}
