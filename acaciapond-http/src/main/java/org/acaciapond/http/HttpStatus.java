package org.acaciapond.http;

/** Ranges of status codes. A server in trouble may send others, which say nothing. */
public final class HttpStatus {

  private static final int FIRST_INFORMATIONAL = 100;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL = 200;
  private static final int LAST_FINAL = 599;

  private HttpStatus() {}

  /** Returns whether a response with this status can be the response to a request. */
  public static boolean isFinal(int status) {
    return status >= FIRST_FINAL && status <= LAST_FINAL;
  }

  /**
   * Returns whether a response with this status may precede the final one. A switch of protocols is
   * never requested, and nothing that follows it would be a response.
   */
  static boolean isInformational(int status) {
    return status >= FIRST_INFORMATIONAL && status < FIRST_FINAL && status != SWITCHING_PROTOCOLS;
  }
}
