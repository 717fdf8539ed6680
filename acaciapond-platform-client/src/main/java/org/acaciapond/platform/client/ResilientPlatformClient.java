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
 * Platform client that retries within a deadline and resolves the outcome of unanswered writes.
 *
 * <p>Safe to use from any thread. Reading a row back after a lost response has a deadline of its
 * own, so a write takes at most two deadlines.
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
  // A lower status is none of a response; the request may have been processed.
  private static final int FIRST_FINAL = 200;
  private static final int FIRST_SERVER_ERROR = 500;

  /**
   * State of one operation; its attempts are sequential, so its fields have one writer at a time.
   */
  private static final class Call {
    private final PlatformRequest request;
    private final long deadlineNanos;
    private volatile int attempts;

    /** Whether an attempt may have taken effect although its response is not known. */
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
        .map(response -> response.map(found -> new Row(key, requireRevision(found), found.body())));
  }

  @Override
  public Uni<List<Row>> listRows(String prefix) {
    return read("/table?prefix=" + escape(prefix))
        .map(response -> response.map(ResilientPlatformClient::toRows).orElse(List.of()));
  }

  @Override
  public Uni<Optional<byte[]>> readObject(String digest) {
    return read("/objects/" + digest)
        .map(
            response -> {
              response.ifPresent(found -> checkDigest(found.body(), digest));
              return response.map(PlatformResponse::body);
            });
  }

  @Override
  public Uni<String> writeObject(byte[] bytes) {
    String digest = ConfigCodec.digest(bytes);
    Call call = createCall(new PlatformRequest("PUT", "/objects/" + digest, null, bytes));
    return attempt(call)
        .map(
            response -> {
              requireStatus(response, CREATED);
              return digest;
            });
  }

  @Override
  public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
    return Uni.createFrom()
        .deferred(
            () -> {
              Call call =
                  createCall(
                      new PlatformRequest("PUT", "/table/" + escape(key), expectedRevision, value));
              return attempt(call)
                  .chain(response -> toWriteResult(call, key, response))
                  .onFailure(ResilientPlatformClient::isUnavailable)
                  .recoverWithUni(() -> resolveOutcome(call, key));
            });
  }

  private Uni<Optional<PlatformResponse>> read(String path) {
    return Uni.createFrom()
        .deferred(() -> attempt(createCall(new PlatformRequest("GET", path, null, null))))
        .map(
            response -> {
              if (response.status() == NOT_FOUND) {
                return Optional.empty();
              }
              requireStatus(response, OK);
              return Optional.of(response);
            });
  }

  private Uni<WriteResult> toWriteResult(Call call, String key, PlatformResponse response) {
    if (response.status() == PRECONDITION_FAILED) {
      return resolveOutcome(call, key);
    }
    requireStatus(response, NO_CONTENT);
    return Uni.createFrom()
        .item(new WriteResult(WriteResult.Outcome.APPLIED, requireRevision(response)));
  }

  /**
   * Resolves the outcome of a write that got no response or a conflict.
   *
   * <p>An attempt may conflict with the effect of an earlier attempt whose response was lost, so
   * the row is read back unless every attempt has a known outcome.
   */
  private Uni<WriteResult> resolveOutcome(Call call, String key) {
    if (!call.uncertain) {
      return Uni.createFrom().item(new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0));
    }
    return readRow(key)
        .map(row -> compareWithRow(call.request, row))
        .onFailure(PlatformException.class)
        .recoverWithItem(new WriteResult(WriteResult.Outcome.UNKNOWN, 0));
  }

  /**
   * Compares the value of a write with the value that the row has now.
   *
   * <p>The outcome is known only at the revision after the expected one: at an older revision the
   * write may still arrive, and at a newer one it may have been applied and overwritten.
   */
  private static WriteResult compareWithRow(PlatformRequest request, Optional<Row> row) {
    Long expected = request.expectedRevision();
    long written = expected == null ? 0 : expected + 1;
    if (row.isEmpty() || row.get().revision() != written) {
      return new WriteResult(WriteResult.Outcome.UNKNOWN, 0);
    }
    return Arrays.equals(row.get().value(), request.body())
        ? new WriteResult(WriteResult.Outcome.APPLIED, written)
        : new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0);
  }

  private Call createCall(PlatformRequest request) {
    long deadlineNanos = time.nanoTime() + Duration.ofMillis(policy.deadlineMs()).toNanos();
    return new Call(request, deadlineNanos);
  }

  private Uni<PlatformResponse> attempt(Call call) {
    long remainingMs = remainingMs(call);
    if (remainingMs <= 0) {
      return failUnavailable("the deadline passed", null);
    }
    if (!breaker.tryAcquire()) {
      return failUnavailable("the circuit breaker is open", null);
    }
    call.attempts++;
    return exchange
        .send(call.request, Math.min(policy.attemptTimeoutMs(), remainingMs))
        .onItemOrFailure()
        .transformToUni((response, error) -> onOutcome(call, response, error));
  }

  private Uni<PlatformResponse> onOutcome(
      Call call, @Nullable PlatformResponse response, @Nullable Throwable error) {
    if (response == null
        || response.status() < FIRST_FINAL
        || response.status() >= FIRST_SERVER_ERROR) {
      breaker.onFailure();
      call.uncertain = true;
      return retry(call, 0, response == null ? "no answer" : "status " + response.status(), error);
    }
    breaker.onSuccess();
    if (response.status() == TOO_MANY_REQUESTS) {
      return retry(
          call, response.retryAfterMs(), "refused by the rate limit of the platform", null);
    }
    return Uni.createFrom().item(response);
  }

  private Uni<PlatformResponse> retry(
      Call call, long minPauseMs, String reason, @Nullable Throwable error) {
    long pauseMs = minPauseMs + jitterMs(call.attempts);
    if (call.attempts >= policy.maxAttempts() || pauseMs >= remainingMs(call)) {
      return failUnavailable(reason + " after " + call.attempts + " attempts", error);
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

  private static Uni<PlatformResponse> failUnavailable(String message, @Nullable Throwable cause) {
    return Uni.createFrom()
        .failure(new PlatformException(PlatformErrorCode.PLATFORM_UNAVAILABLE, message, cause));
  }

  private static boolean isUnavailable(Throwable error) {
    return error instanceof PlatformException platform
        && platform.code() == PlatformErrorCode.PLATFORM_UNAVAILABLE;
  }

  private static void requireStatus(PlatformResponse response, int status) {
    if (response.status() != status) {
      throw protocolError("unexpected status " + response.status(), null);
    }
  }

  private static long requireRevision(PlatformResponse response) {
    if (response.revision() < 1) {
      throw protocolError("the response names no revision", null);
    }
    return response.revision();
  }

  private static void checkDigest(byte[] bytes, String digest) {
    if (!ConfigCodec.digest(bytes).equals(digest)) {
      throw protocolError("the content of object " + digest + " has another digest", null);
    }
  }

  private static List<Row> toRows(PlatformResponse response) {
    try {
      List<Row> rows = new ArrayList<>();
      for (JsonNode row : ConfigCodec.mapper().readTree(response.body())) {
        rows.add(
            new Row(
                row.path("key").asText(),
                row.path("revision").asLong(),
                VALUE_DECODER.decode(row.path("value").asText())));
      }
      return rows;
    } catch (IOException | IllegalArgumentException e) {
      throw protocolError("malformed list of rows", e);
    }
  }

  private static PlatformException protocolError(String message, @Nullable Throwable cause) {
    return new PlatformException(PlatformErrorCode.PLATFORM_PROTOCOL, message, cause);
  }

  private static String escape(String key) {
    return URLEncoder.encode(key, StandardCharsets.UTF_8);
  }
}
