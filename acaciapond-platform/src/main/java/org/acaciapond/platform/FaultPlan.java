package org.acaciapond.platform;

import io.vertx.core.json.JsonObject;

/**
 * Fault of one store.
 *
 * @param mode kind of the fault
 * @param delayMs delay of an affected request
 * @param probability share of the requests that are affected
 * @param seed seed of the random selection of affected requests
 */
record FaultPlan(FaultMode mode, long delayMs, double probability, long seed) {

  static final FaultPlan NONE = new FaultPlan(FaultMode.NONE, 0, 1, 0);
  private static final long MAX_DELAY_MS = 600_000;

  FaultPlan {
    if (delayMs < 0 || delayMs > MAX_DELAY_MS) {
      throw new IllegalArgumentException("delay_ms must be from 0 to " + MAX_DELAY_MS);
    }
    if (!(probability >= 0 && probability <= 1)) {
      throw new IllegalArgumentException("probability must be from 0 to 1");
    }
  }

  /**
   * Reads a plan; throws {@link IllegalArgumentException} or {@link ClassCastException} if invalid.
   */
  static FaultPlan ofJson(JsonObject json) {
    String name = json.getString("mode", "");
    FaultMode mode =
        FaultMode.ofWireName(name)
            .orElseThrow(() -> new IllegalArgumentException("unknown mode: " + name));
    return new FaultPlan(
        mode,
        json.getLong("delay_ms", 0L),
        json.getDouble("probability", 1.0),
        json.getLong("seed", 0L));
  }

  JsonObject toJson() {
    return new JsonObject()
        .put("mode", mode.wireName())
        .put("delay_ms", delayMs)
        .put("probability", probability)
        .put("seed", seed);
  }
}
