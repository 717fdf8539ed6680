package org.acaciapond.sidecar.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against tokens that are lost, or returned although a target may have run their call. */
class RequestTokensTest {

  private static final long FIRST_NANOS = 100;

  private final Deque<Long> stock = new ArrayDeque<>();
  private final List<Long> returned = new ArrayList<>();
  private final RequestTokens tokens =
      new RequestTokens(
          new RequestTokens.Source() {
            @Override
            public OptionalLong tryTake() {
              return stock.isEmpty() ? OptionalLong.empty() : OptionalLong.of(stock.remove());
            }

            @Override
            public void giveBack(long producedNanos) {
              returned.add(producedNanos);
            }
          },
          FIRST_NANOS);

  @Test
  void tokenOfRequestThatWasNotSentIsReturnedOnce() {
    tokens.giveBackUnused();
    tokens.giveBackUnused();
    assertEquals(List.of(FIRST_NANOS), returned);
  }

  @Test
  void tokenOfCallThatMayHaveRunIsNotReturned() {
    tokens.onSent();
    tokens.giveBackUnused();
    assertEquals(List.of(), returned);
  }

  @Test
  void tokenOfCallThatDidNotRunServesTheNextCall() {
    tokens.onSent();
    tokens.onNotRun();
    assertTrue(tokens.tryTake());
    tokens.onSent();
    tokens.giveBackUnused();
    assertEquals(List.of(), returned);
  }

  // The retry budget may refuse the repeat after its token was taken.
  @Test
  void tokenOfRepeatThatWasNotSentIsReturned() {
    stock.add(250L);
    tokens.onSent();
    assertTrue(tokens.tryTake());
    tokens.giveBackUnused();
    assertEquals(1, returned.size());
  }

  // Which of the tokens was used is not known; the oldest age keeps the bound.
  @Test
  void returnedTokensAreAsOldAsTheOldest() {
    stock.add(50L);
    tokens.onSent();
    assertTrue(tokens.tryTake());
    tokens.onSent();
    tokens.onNotRun();
    tokens.onNotRun();
    tokens.giveBackUnused();
    assertEquals(List.of(50L, 50L), returned);
  }

  @Test
  void noRepeatWithoutToken() {
    tokens.onSent();
    assertFalse(tokens.tryTake());
  }
}
