package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.config.version.ConfigCodec;

/**
 * In-memory platform that executes requests one at a time in random order.
 *
 * <p>A request may be refused, fail without effect, lose its response, or take effect long after
 * the client stopped waiting.
 */
public final class SimulatedPlatform implements PlatformExchange {

  /** Simulated outcome of a request. */
  public enum RequestOutcome {
    /** The request takes effect and gets a response. */
    ANSWERED,
    /** The request is refused by the rate limit. */
    REFUSED,
    /** The request gets status 503 and has no effect. */
    DOWN,
    /** The request takes effect and its response is lost. */
    ANSWER_LOST,
    /** The request takes effect after the client stopped waiting. */
    LATE
  }

  private final RandomGenerator random;
  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private final List<Runnable> tasks = new ArrayList<>();
  private final Map<String, Row> rows = new HashMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private List<RequestOutcome> outcomes = List.of(RequestOutcome.ANSWERED);
  private int requestCount;

  /** Creates a platform without faults. */
  public SimulatedPlatform(RandomGenerator random) {
    this.random = random;
  }

  /** Replaces the outcomes that requests are drawn from. */
  public void setOutcomes(List<RequestOutcome> next) {
    this.outcomes = next;
  }

  /** Returns the clock; the pauses between attempts advance it. */
  public ManualTimeSource time() {
    return time;
  }

  /** Returns every row value that was written, in order. */
  public List<Row> history() {
    return history;
  }

  /** Returns how many requests were sent. */
  public int requestCount() {
    return requestCount;
  }

  /** Removes random objects, but neither the given edit nor its text. */
  public void removeRandomObjects(int count, String editDigest, String text) {
    String textDigest = ConfigCodec.digest(text.getBytes(StandardCharsets.UTF_8));
    List<String> digests = new ArrayList<>(objects.keySet());
    digests.removeAll(List.of(editDigest, textDigest));
    for (int i = 0; i < count && !digests.isEmpty(); i++) {
      objects.remove(digests.remove(random.nextInt(digests.size())));
    }
  }

  /** Returns a client of this platform. */
  public ResilientPlatformClient client() {
    return new ResilientPlatformClient(
        this,
        new RetryPolicy(4, 1_000, 60_000, 50, 1_000),
        new CircuitBreaker(time, 1_000, Duration.ofSeconds(1)),
        time,
        random,
        this::pause);
  }

  /** Runs all pending requests and pauses in random order. */
  public void runAll() {
    while (!tasks.isEmpty()) {
      tasks.remove(random.nextInt(tasks.size())).run();
    }
  }

  private Uni<Void> pause(long delayMs) {
    return Uni.createFrom()
        .emitter(
            emitter ->
                tasks.add(
                    () -> {
                      time.advance(Duration.ofMillis(delayMs));
                      emitter.complete(null);
                    }));
  }

  @Override
  public Uni<PlatformResponse> send(PlatformRequest request, long timeoutMs) {
    requestCount++;
    RequestOutcome outcome = outcomes.get(random.nextInt(outcomes.size()));
    return Uni.createFrom()
        .emitter(
            emitter ->
                tasks.add(
                    () -> {
                      switch (outcome) {
                        case REFUSED -> emitter.complete(response(429, 0, 1_000));
                        case DOWN -> emitter.complete(response(503, 0, 0));
                        case ANSWER_LOST -> {
                          apply(request);
                          emitter.fail(new IOException("response lost"));
                        }
                        case LATE -> {
                          tasks.add(() -> apply(request));
                          emitter.fail(new IOException("timeout"));
                        }
                        default -> emitter.complete(apply(request));
                      }
                    }));
  }

  private PlatformResponse apply(PlatformRequest request) {
    String path = URLDecoder.decode(request.path(), StandardCharsets.UTF_8);
    byte[] body = request.body();
    String name = path.substring(path.indexOf('/', 1) + 1);
    if (path.startsWith("/objects/")) {
      return body == null ? readObject(name) : writeObject(name, body);
    }
    Row row = rows.get(name);
    if (body == null) {
      return row == null
          ? response(404, 0, 0)
          : new PlatformResponse(200, row.revision(), 0, row.value());
    }
    long revision = row == null ? 0 : row.revision();
    if (revision != request.expectedRevision()) {
      return response(412, 0, 0);
    }
    Row next = new Row(name, revision + 1, body);
    rows.put(name, next);
    history.add(next);
    return response(204, revision + 1, 0);
  }

  private PlatformResponse readObject(String digest) {
    byte[] bytes = objects.get(digest);
    return bytes == null ? response(404, 0, 0) : new PlatformResponse(200, 0, 0, bytes);
  }

  private PlatformResponse writeObject(String digest, byte[] bytes) {
    objects.put(digest, bytes);
    return response(201, 0, 0);
  }

  private static PlatformResponse response(int status, long revision, long retryAfterMs) {
    return new PlatformResponse(status, revision, retryAfterMs, new byte[0]);
  }
}
