package org.acaciapond.platform;

/**
 * Rate limits of the server.
 *
 * @param writesPerSecond writes admitted per second, over both stores
 * @param readsPerSecond reads admitted per second, over both stores
 */
public record PlatformLimits(long writesPerSecond, long readsPerSecond) {

  /** Capacity that the design assumes: several hundred writes and about 2,000 reads per second. */
  public static final PlatformLimits DEFAULT = new PlatformLimits(300, 2_000);

  /** Creates limits. */
  public PlatformLimits {
    if (writesPerSecond < 1 || readsPerSecond < 1) {
      throw new IllegalArgumentException("limits must be at least 1 per second");
    }
  }
}
