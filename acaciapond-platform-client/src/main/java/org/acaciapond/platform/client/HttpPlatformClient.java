package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.acaciapond.common.time.TimeSource;

/** Client of the platform over HTTP, with deadlines, retries and a circuit breaker. */
public final class HttpPlatformClient implements PlatformClient {

  private final PlatformCounters counters = new PlatformCounters();
  private final CircuitBreaker breaker;
  private final ResilientPlatformClient client;

  /** Creates a client with the default retry policy for a timeout of one attempt. */
  public HttpPlatformClient(Vertx vertx, String ip, int port, long timeoutMs) {
    this(
        vertx,
        ip,
        port,
        RetryPolicy.ofAttemptTimeout(timeoutMs),
        TimeSource.system(),
        RandomGenerator.of("L64X128MixRandom"));
  }

  /** Creates a client. */
  public HttpPlatformClient(
      Vertx vertx,
      String ip,
      int port,
      RetryPolicy policy,
      TimeSource time,
      RandomGenerator random) {
    this.breaker = CircuitBreaker.withDefaults(time);
    this.client =
        new ResilientPlatformClient(
            new HttpExchange(vertx, ip, port, counters),
            policy,
            breaker,
            time,
            random,
            delayMs -> pause(vertx, delayMs));
  }

  private static Uni<Void> pause(Vertx vertx, long delayMs) {
    return Uni.createFrom()
        .emitter(emitter -> vertx.setTimer(Math.max(1, delayMs), id -> emitter.complete(null)));
  }

  /** Returns the counters of the traffic with the platform. */
  public PlatformCounters counters() {
    return counters;
  }

  /** Returns the circuit breaker. */
  public CircuitBreaker breaker() {
    return breaker;
  }

  @Override
  public Uni<Optional<Row>> readRow(String key) {
    return client.readRow(key);
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return client.listRows(prefix);
  }

  @Override
  public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
    return client.writeRow(key, expectedRevision, value);
  }

  @Override
  public Uni<Optional<byte[]>> readObject(String digest) {
    return client.readObject(digest);
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    return client.writeObject(bytes);
  }
}
