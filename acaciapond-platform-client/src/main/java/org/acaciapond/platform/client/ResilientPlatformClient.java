package org.acaciapond.platform.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigCodec;
import org.jspecify.annotations.Nullable;

/**
 * Client that retries within a deadline and settles writes whose answer was lost.
 *
 * <p>Safe to use from any thread. Reading a row back after a lost answer has a deadline of its own,
 * so a write takes at most two deadlines.
 */
public final class ResilientPlatformClient implements PlatformClient {

  /** The platform encodes values in lists as base64url without padding. */
  private static final Base64.Decoder VALUE_DECODER = Base64.getUrlDecoder();

  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Progress of one operation; attempts follow one another, so no field is shared. */
  private static final class Call {
    private final PlatformRequest request;
    private final long deadlineNanos;
    private volatile int attempts;

    /** Whether an attempt may have reached the platform without its answer being known. */
    private volatile boolean uncertain;

    private Call(PlatformRequest request, long deadlineNanos) {
      this.request = request;
      this.deadlineNanos = deadlineNanos;
    }
  }

  private final PlatformExchange exchange;
  private final RetryPolicy policy;
  private final CircuitBreaker breaker;
  private final TimeSource time;
  private final RandomGenerator random;
  private final Delay delay;

  /** Creates a client. */
  public ResilientPlatformClient(
      PlatformExchange exchange,
      RetryPolicy policy,
      CircuitBreaker breaker,
      TimeSource time,
      RandomGenerator random,
      Delay delay) {
    this.exchange = exchange;
    this.policy = policy;
    this.breaker = breaker;
    this.time = time;
    this.random = random;
    this.delay = delay;
  }

  @Override
  public Uni<Optional<Row>> readRow(String key) {
    return read("/table/" + escape(key))
        .map(reply -> reply.map(found -> new Row(key, revision(found), found.body())));
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return read("/table?prefix=" + escape(prefix))
        .map(reply -> reply.map(ResilientPlatformClient::toRows).orElse(List.of()));
  }

  @Override
  public Uni<Optional<byte[]>> readObject(String digest) {
    return read("/objects/" + digest)
        .map(
            reply -> {
              reply.ifPresent(found -> checkDigest(found.body(), digest));
              return reply.map(PlatformResponse::body);
            });
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    String digest = ConfigCodec.digest(bytes);
    Call call = start(new PlatformRequest("PUT", "/objects/" + digest, null, bytes));
    return attempt(call)
        .map(
            reply -> {
              expect(reply, CREATED);
              return digest;
            });
  }

  @Override
  public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
    return Uni.createFrom()
        .deferred(
            () -> {
              Call call =
                  start(
                      new PlatformRequest("PUT", "/table/" + escape(key), expectedRevision, value));
              return attempt(call)
                  .chain(reply -> toWriteResult(call, key, reply))
                  .onFailure(ResilientPlatformClient::isUnavailable)
                  .recoverWithUni(() -> settle(call, key));
            });
  }

  private Uni<Optional<PlatformResponse>> read(String path) {
    return Uni.createFrom()
        .deferred(() -> attempt(start(new PlatformRequest("GET", path, null, null))))
        .map(
            reply -> {
              if (reply.status() == NOT_FOUND) {
                return Optional.empty();
              }
              expect(reply, OK);
              return Optional.of(reply);
            });
  }

  private Uni<WriteResult> toWriteResult(Call call, String key, PlatformResponse reply) {
    if (reply.status() == PRECONDITION_FAILED) {
      return settle(call, key);
    }
    expect(reply, NO_CONTENT);
    return Uni.createFrom().item(new WriteResult(WriteResult.Outcome.APPLIED, revision(reply)));
  }

  /**
   * Decides the fate of a write that got no answer or a conflict.
   *
   * <p>A conflict on a later attempt may be with the effect of an earlier one whose answer was
   * lost, so the row is read back unless no attempt is in doubt.
   */
  private Uni<WriteResult> settle(Call call, String key) {
    if (!call.uncertain) {
      return Uni.createFrom().item(new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0));
    }
    return readRow(key)
        .map(row -> settleAgainst(call.request, row))
        .onFailure(PlatformException.class)
        .recoverWithItem(new WriteResult(WriteResult.Outcome.UNKNOWN, 0));
  }

  /**
   * Compares a written row with what it holds now.
   *
   * <p>Only the revision after the expected one tells: before it, the write may still arrive;
   * beyond it, the write may have been applied and overwritten.
   */
  private static WriteResult settleAgainst(PlatformRequest request, Optional<Row> row) {
    Long expected = request.expectedRevision();
    long written = expected == null ? 0 : expected + 1;
    if (row.isEmpty() || row.get().revision() != written) {
      return new WriteResult(WriteResult.Outcome.UNKNOWN, 0);
    }
    return Arrays.equals(row.get().value(), request.body())
        ? new WriteResult(WriteResult.Outcome.APPLIED, written)
        : new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0);
  }

  private Call start(PlatformRequest request) {
    long deadlineNanos = time.nanoTime() + Duration.ofMillis(policy.deadlineMs()).toNanos();
    return new Call(request, deadlineNanos);
  }

  private Uni<PlatformResponse> attempt(Call call) {
    long remainingMs = remainingMs(call);
    if (remainingMs <= 0) {
      return unavailable("the deadline passed", null);
    }
    if (!breaker.tryAcquire()) {
      return unavailable("the circuit breaker is open", null);
    }
    call.attempts++;
    return exchange
        .send(call.request, Math.min(policy.attemptTimeoutMs(), remainingMs))
        .onItemOrFailure()
        .transformToUni((reply, error) -> onOutcome(call, reply, error));
  }

  private Uni<PlatformResponse> onOutcome(
      Call call, @Nullable PlatformResponse reply, @Nullable Throwable error) {
    if (reply == null || reply.status() >= FIRST_SERVER_ERROR) {
      breaker.onFailure();
      call.uncertain = true;
      return retry(call, 0, reply == null ? "no answer" : "status " + reply.status(), error);
    }
    breaker.onSuccess();
    if (reply.status() == TOO_MANY_REQUESTS) {
      return retry(call, reply.retryAfterMs(), "the platform refuses by its rate limit", null);
    }
    return Uni.createFrom().item(reply);
  }

  private Uni<PlatformResponse> retry(
      Call call, long leastPauseMs, String reason, @Nullable Throwable error) {
    long pauseMs = leastPauseMs + jitterMs(call.attempts);
    if (call.attempts >= policy.maxAttempts() || pauseMs >= remainingMs(call)) {
      return unavailable(reason + " after " + call.attempts + " attempts", error);
    }
    return delay.ofMillis(pauseMs).chain(() -> attempt(call));
  }

  private long jitterMs(int attempt) {
    synchronized (random) {
      return policy.pauseMs(attempt, random);
    }
  }

  private long remainingMs(Call call) {
    return Duration.ofNanos(call.deadlineNanos - time.nanoTime()).toMillis();
  }

  private static Uni<PlatformResponse> unavailable(String message, @Nullable Throwable cause) {
    return Uni.createFrom()
        .failure(new PlatformException(PlatformErrorCode.PLATFORM_UNAVAILABLE, message, cause));
  }

  private static boolean isUnavailable(Throwable error) {
    return error instanceof PlatformException platform
        && platform.code() == PlatformErrorCode.PLATFORM_UNAVAILABLE;
  }

  private static void expect(PlatformResponse reply, int status) {
    if (reply.status() != status) {
      throw protocol("status " + reply.status(), null);
    }
  }

  private static long revision(PlatformResponse reply) {
    if (reply.revision() < 1) {
      throw protocol("no revision", null);
    }
    return reply.revision();
  }

  private static void checkDigest(byte[] bytes, String digest) {
    if (!ConfigCodec.digest(bytes).equals(digest)) {
      throw protocol("object " + digest + " is damaged", null);
    }
  }

  private static List<Row> toRows(PlatformResponse reply) {
    try {
      List<Row> rows = new ArrayList<>();
      for (JsonNode row : ConfigCodec.mapper().readTree(reply.body())) {
        rows.add(
            new Row(
                row.path("key").asText(),
                row.path("revision").asLong(),
                VALUE_DECODER.decode(row.path("value").asText())));
      }
      return rows;
    } catch (IOException | IllegalArgumentException e) {
      throw protocol("malformed list", e);
    }
  }

  private static PlatformException protocol(String message, @Nullable Throwable cause) {
    return new PlatformException(PlatformErrorCode.PLATFORM_PROTOCOL, message, cause);
  }

  private static String escape(String key) {
    return URLEncoder.encode(key, StandardCharsets.UTF_8);
  }
}
