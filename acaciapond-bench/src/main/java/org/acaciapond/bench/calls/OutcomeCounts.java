package org.acaciapond.bench.calls;

import io.vertx.core.AsyncResult;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts of call results by kind; safe for several threads. */
final class OutcomeCounts {

  private static final int MAX_REASON_CHARS = 60;
  private static final int OK = 200;

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

  /** Counts one result by its status, stated outcome and reason, or by its exception. */
  void add(AsyncResult<LoadClient.Answer> result) {
    String kind =
        result.succeeded()
            ? kindOf(result.result())
            : "exception " + result.cause().getClass().getSimpleName();
    add(kind);
  }

  /** Counts one result of a kind. */
  void add(String kind) {
    counts.computeIfAbsent(kind, key -> new LongAdder()).increment();
  }

  private static String kindOf(LoadClient.Answer answer) {
    if (answer.status() == OK) {
      return "200";
    }
    String reason = answer.body().toString().trim();
    String shown = reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length()));
    return answer.status() + " " + answer.outcome() + " " + shown;
  }

  /** Forgets all counts. */
  void clear() {
    counts.clear();
  }

  JsonObject toJson() {
    JsonObject json = new JsonObject();
    new TreeMap<>(counts).forEach((kind, count) -> json.put(kind, count.sum()));
    return json;
  }
}
