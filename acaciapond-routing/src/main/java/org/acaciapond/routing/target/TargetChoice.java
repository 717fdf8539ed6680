package org.acaciapond.routing.target;

import org.acaciapond.common.time.TimeSource;
import org.acaciapond.routing.call.AttemptResult;

/** Target chosen for one attempt; the owner calls {@link #end} exactly once. */
public final class TargetChoice {

  private final TargetEndpoint endpoint;
  private final TargetLoad load;
  private final OutlierDetector detector;
  private final TimeSource time;
  private final long startNanos;
  private boolean ended;

  TargetChoice(
      TargetEndpoint endpoint, TargetLoad load, OutlierDetector detector, TimeSource time) {
    this.endpoint = endpoint;
    this.load = load;
    this.detector = detector;
    this.time = time;
    this.startNanos = time.nanoTime();
    load.onStart();
  }

  /** Returns the target. */
  public TargetEndpoint endpoint() {
    return endpoint;
  }

  /** Records the end of the attempt and returns its latency; repeated calls have no effect. */
  public long end(AttemptResult result) {
    long now = time.nanoTime();
    long latency = now - startNanos;
    if (ended) {
      return latency;
    }
    ended = true;
    load.onEnd();
    detector.onResult(endpoint.hostId(), result, latency);
    switch (result) {
      case ANSWERED -> load.onLatency(latency, now);
      case REFUSED_NOT_RUN -> load.onRefusal(now);
      default -> {
        if (result == AttemptResult.CONNECT_FAILED || result.outcome().isFailure()) {
          load.onFailure(latency, now);
        }
      }
    }
    return latency;
  }
}
