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
 * Platform in memory whose requests run one at a time in an order drawn at random.
 *
 * <p>A request may be refused, fail before its effect, lose its answer, or take effect long after
 * the client stopped waiting.
 */
public final class SimulatedPlatform implements PlatformExchange {

  /** What becomes of a request. */
  public enum Fate {
    /** It takes effect and is answered. */
    ANSWERED,
    /** It is refused by the rate limit. */
    REFUSED,
    /** It is answered 503 without effect. */
    DOWN,
    /** It takes effect and its answer is lost. */
    ANSWER_LOST,
    /** It takes effect at some time after the client gave up. */
    LATE
  }

  private final RandomGenerator random;
  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private final List<Runnable> tasks = new ArrayList<>();
  private final Map<String, Row> rows = new HashMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private List<Fate> fates = List.of(Fate.ANSWERED);
  private int requestCount;

  /** Creates a platform without faults. */
  public SimulatedPlatform(RandomGenerator random) {
    this.random = random;
  }

  /** Replaces the fates that requests are drawn from. */
  public void setFates(List<Fate> next) {
    this.fates = next;
  }

  /** Returns the clock, which pauses advance. */
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

  /** Removes some objects at random, but neither an edit nor its text. */
  public void loseObjects(int count, String editDigest, String text) {
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

  /** Runs all pending requests and pauses, in an order drawn at random. */
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
    Fate fate = fates.get(random.nextInt(fates.size()));
    return Uni.createFrom()
        .emitter(
            emitter ->
                tasks.add(
                    () -> {
                      switch (fate) {
                        case REFUSED -> emitter.complete(reply(429, 0, 1_000));
                        case DOWN -> emitter.complete(reply(503, 0, 0));
                        case ANSWER_LOST -> {
                          apply(request);
                          emitter.fail(new IOException("answer lost"));
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
          ? reply(404, 0, 0)
          : new PlatformResponse(200, row.revision(), 0, row.value());
    }
    long revision = row == null ? 0 : row.revision();
    if (revision != request.expectedRevision()) {
      return reply(412, 0, 0);
    }
    Row next = new Row(name, revision + 1, body);
    rows.put(name, next);
    history.add(next);
    return reply(204, revision + 1, 0);
  }

  private PlatformResponse readObject(String digest) {
    byte[] bytes = objects.get(digest);
    return bytes == null ? reply(404, 0, 0) : new PlatformResponse(200, 0, 0, bytes);
  }

  private PlatformResponse writeObject(String digest, byte[] bytes) {
    objects.put(digest, bytes);
    return reply(201, 0, 0);
  }

  private static PlatformResponse reply(int status, long revision, long retryAfterMs) {
    return new PlatformResponse(status, revision, retryAfterMs, new byte[0]);
  }
}
