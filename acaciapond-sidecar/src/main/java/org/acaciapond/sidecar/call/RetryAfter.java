package org.acaciapond.sidecar.call;

/** Formatter for the value of the {@code Retry-After} header. */
public final class RetryAfter {

  private RetryAfter() {}

  /**
   * Formats a time in seconds with three decimals.
   *
   * @param ms time in milliseconds
   */
  public static String seconds(int ms) {
    // String.format would load locale data on the first refusal after the start.
    String thousandths = Integer.toString(1_000 + ms % 1_000);
    return ms / 1_000 + "." + thousandths.substring(1);
  }
}
