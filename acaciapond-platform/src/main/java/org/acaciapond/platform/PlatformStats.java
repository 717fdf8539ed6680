package org.acaciapond.platform;

import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the requests that the server received. */
public final class PlatformStats {

  private final LongAdder reads = new LongAdder();
  private final LongAdder writes = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder conflicts = new LongAdder();

  void countRead() {
    reads.increment();
  }

  void countWrite() {
    writes.increment();
  }

  void countRefused() {
    refused.increment();
  }

  void countConflict() {
    conflicts.increment();
  }

  /** Returns the reads within the rate limit, whether or not a fault affected them. */
  public long reads() {
    return reads.sum();
  }

  /** Returns the writes within the rate limit, whether or not a fault affected them. */
  public long writes() {
    return writes.sum();
  }

  /** Returns the requests over the rate limit, which got status 429. */
  public long refused() {
    return refused.sum();
  }

  /** Returns the writes that failed because the row had another revision. */
  public long conflicts() {
    return conflicts.sum();
  }

  JsonObject toJson() {
    return new JsonObject()
        .put("reads", reads())
        .put("writes", writes())
        .put("refused", refused())
        .put("conflicts", conflicts());
  }
}
