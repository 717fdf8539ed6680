package org.acaciapond.mesh.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of single steps on which the sum over all nodes rests. */
class TokenTransferTest {

  private static final long S = 1_000_000_000L;
  private static final TokenPolicy POLICY = new TokenPolicy(1, 2 * S);
  private static final int MANY_NODES = 1_000_000;
  private static final List<Portion> TWO_TOKENS = List.of(new Portion(2 * TokenStock.TOKEN, 0));

  private final List<LimitMessage> sent = new ArrayList<>();
  private int granted;

  private SharedLimiter limiter(String self, int nodes) {
    SharedLimiter limiter = new SharedLimiter(self, (to, message) -> sent.add(message), 5);
    limiter.setPolicies(Map.of("a", POLICY), 0);
    limiter.setMembers(List.of("n1", "n2", "n3", "n4"), nodes);
    return limiter;
  }

  private void request(SharedLimiter limiter, long nowNanos) {
    limiter.acquire(
        "a",
        100,
        new SharedLimiter.Waiter() {
          @Override
          public void granted(long producedNanos) {
            granted++;
          }

          @Override
          public void refused(int retryAfterMs) {
            // Not sent.
          }
        },
        nowNanos);
  }

  // Guards against tokens that become younger on their way.
  @Test
  void ageCountsWhileTokensAreOnTheirWay() {
    LimitState limit = new LimitState("a", POLICY, 10 * S);
    limit.addReceived(List.of(new Portion(TokenStock.TOKEN, 1_500)), 10 * S, 10 * S + S / 4);
    assertTrue(limit.hasToken());
    limit.update(0, 10 * S + S / 2);
    assertFalse(limit.hasToken());
    limit.addReceived(List.of(new Portion(TokenStock.TOKEN, 1_500)), 10 * S, 11 * S);
    assertFalse(limit.hasToken());
  }

  // Guards against a stock that a lowered limit leaves as it is.
  @Test
  void loweredLimitReducesTheStock() {
    LimitState limit = new LimitState("a", POLICY, 0);
    limit.addReceived(List.of(new Portion(4 * TokenStock.TOKEN, 0)), 0, 0);
    limit.setPolicy(new TokenPolicy(0.25, 2 * S));
    assertEquals(TokenStock.TOKEN, limit.stock.total());
  }

  // Guards against a repeated message whose tokens are used twice. Depending on its name, the node
  // asks another one or collects the tokens itself.
  @ParameterizedTest
  @ValueSource(strings = {"n0", "n5", "n6", "n7", "n8", "n9", "n10", "n11"})
  void replyIsAcceptedOnce(String self) {
    SharedLimiter limiter = limiter(self, MANY_NODES);
    request(limiter, S);
    LimitMessage reply;
    if (sent.get(0) instanceof LimitMessage.Ask ask) {
      reply = new LimitMessage.Grant(ask.number(), "a", TWO_TOKENS, 0, 0);
    } else {
      LimitMessage.Pull pull = assertInstanceOf(LimitMessage.Pull.class, sent.get(0));
      reply =
          new LimitMessage.Surpluses(
              pull.number(), List.of(new LimitMessage.Surplus("a", TWO_TOKENS)));
    }
    limiter.receive("n1", reply, S);
    limiter.receive("n1", reply, S);
    for (int i = 0; i < 3; i++) {
      granted += limiter.tryTake("a", S).isPresent() ? 1 : 0;
    }
    assertEquals(2, granted);
  }

  // Guards against the use of tokens whose age the clock of a suspended host did not count, also of
  // tokens that requests held meanwhile.
  @Test
  void nothingIsLeftAfterSuspension() {
    SharedLimiter limiter = limiter("n0", 1);
    limiter.setPolicies(Map.of("a", new TokenPolicy(9, 2 * S)), 0);
    assertTrue(limiter.tryTake("a", 3 * S).isPresent());
    assertTrue(limiter.tryTake("a", 3 * S).isPresent());
    limiter.discardTokens(3 * S);
    limiter.giveBack("a", 2 * S, 3 * S);
    assertFalse(limiter.tryTake("a", 3 * S).isPresent());
  }

  // Guards against a process that produces tokens before it knows how many nodes there are.
  @Test
  void nothingIsProducedWhileTheNodesAreUnknown() {
    SharedLimiter limiter = limiter("n0", 0);
    assertFalse(limiter.tryTake("a", 100 * S).isPresent());
  }

  // Guards against a suspension that is not noticed, and against a pause that is taken for one.
  @Test
  void suspensionIsTimeThatOnlyTheTimeOfDayCounted() {
    SuspensionCheck check = new SuspensionCheck();
    assertFalse(check.isSuspected(S, 50_000));
    assertFalse(check.isSuspected(9 * S, 58_000));
    assertTrue(check.isSuspected(9 * S, 61_000));
    assertFalse(check.isSuspected(10 * S, 62_000));
  }

  // Guards against tokens that appear or disappear while they are kept and handed over.
  @Property(tries = 200, seed = "1")
  void stockKeepsAndHandsOverWhatWasAdded(
      @ForAll @Size(max = 40) List<@IntRange(max = 3_000) Integer> producedMs,
      @ForAll @IntRange(max = 3_000) int takenPart) {
    TokenStock stock = new TokenStock();
    long nowNanos = 3 * S;
    for (int ms : producedMs) {
      stock.add(ms * 1_000_000L, 1_001, 2 * S);
    }
    long total = 1_001L * producedMs.size();
    assertEquals(total, stock.total());
    long taken = total * takenPart / 3_000;
    List<Portion> portions = stock.take(taken, nowNanos);
    assertEquals(taken, portions.stream().mapToLong(Portion::microTokens).sum());
    assertEquals(total - taken, stock.total());
    long oldestMs = producedMs.stream().mapToLong(Integer::longValue).min().orElse(0);
    for (Portion portion : portions) {
      assertTrue(portion.ageMs() <= 3_000 - oldestMs + 1 && portion.ageMs() >= 0);
    }
    stock.expire(nowNanos);
    assertEquals(0, stock.total());
  }

  private static SharedLimiter.Waiter onRefused(IntConsumer action) {
    return new SharedLimiter.Waiter() {
      @Override
      public void granted(long producedNanos) {
        // Not asserted.
      }

      @Override
      public void refused(int retryAfterMs) {
        action.accept(retryAfterMs);
      }
    };
  }

  // Guards against a request that is told to come back at once to a limit of one request in hours.
  @ParameterizedTest
  @ValueSource(strings = {"n0", "n5", "n6", "n7", "n8", "n9", "n10", "n11"})
  void longIntervalIsToldAsSuch(String self) {
    SharedLimiter limiter = limiter(self, MANY_NODES);
    limiter.setPolicies(Map.of("a", new TokenPolicy(1e-7, 2 * S)), 0);
    List<Integer> told = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      limiter.acquire("a", 100, onRefused(told::add), S);
    }
    limiter.tick(2 * S);
    limiter.acquire("a", 100, onRefused(told::add), 2 * S);
    assertEquals(4, told.size());
    assertTrue(told.stream().allMatch(each -> each > 3_600_000), told.toString());
  }

  // Guards against a refusal, upon a suspension of the host, whose handler applies a new
  // configuration.
  @ParameterizedTest
  @ValueSource(strings = {"n0", "n5", "n6", "n7", "n8", "n9", "n10", "n11"})
  void limitsCanChangeWhileTokensAreDiscarded(String self) {
    SharedLimiter limiter = new SharedLimiter(self, (to, message) -> sent.add(message), 5);
    TokenPolicy policy = new TokenPolicy(9, 2 * S);
    limiter.setPolicies(Map.of("a", policy, "c", policy), 0);
    limiter.setMembers(List.of("n1"), 2);
    limiter.acquire(
        "a",
        100,
        onRefused(
            ms -> limiter.setPolicies(Map.of("a", policy, "b", policy, "c", policy), S / 500)),
        S / 1_000);
    limiter.discardTokens(S / 500);
    assertTrue(limiter.isLimited("c"));
  }
}
