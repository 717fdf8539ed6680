package org.acaciapond.bench.calls;

import io.vertx.core.AsyncResult;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Thread-safe counts of call results by description. */
final class OutcomeCounts {

  private static final int MAX_REASON_CHARS = 60;
  private static final int OK = 200;

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

  /** Counts a result by its status, outcome header and reason, or by the class of its exception. */
  void add(AsyncResult<LoadClient.Response> result) {
    String description =
        result.succeeded()
            ? describe(result.result())
            : "exception " + result.cause().getClass().getSimpleName();
    add(description);
  }

  /** Counts a result with a given description. */
  void add(String description) {
    counts.computeIfAbsent(description, key -> new LongAdder()).increment();
  }

  private static String describe(LoadClient.Response response) {
    if (response.status() == OK) {
      return "200";
    }
    String reason = response.body().toString().trim();
    String shortReason = reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length()));
    return response.status() + " " + response.outcome() + " " + shortReason;
  }

  /** Removes all counts. */
  void clear() {
    counts.clear();
  }

  JsonObject toJson() {
    JsonObject json = new JsonObject();
    new TreeMap<>(counts).forEach((description, count) -> json.put(description, count.sum()));
    return json;
  }
}
