package org.acaciapond.sidecar.call;

/** Value of the header that tells a client when to come back. */
public final class RetryAfter {

  private RetryAfter() {}

  /**
   * Returns a time as seconds with three decimals.
   *
   * @param ms time in milliseconds
   */
  public static String seconds(int ms) {
    // A formatter would load locale data at the first refusal after a start.
    String thousandths = Integer.toString(1_000 + ms % 1_000);
    return ms / 1_000 + "." + thousandths.substring(1);
  }
}
