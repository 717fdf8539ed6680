package org.acaciapond.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.acaciapond.sidecar.call.RetryAfter;
import org.junit.jupiter.api.Test;

/** A node that was killed serves nothing until it has started, so its start must stay short. */
class StartCostTest {

  /** Guards against Vert.x initializing data binding at each start because it finds it. */
  @Test
  void dataBindingIsNotOnTheClassPath() {
    assertThrows(
        ClassNotFoundException.class,
        () -> Class.forName("com.fasterxml.jackson.databind.ObjectMapper"));
  }

  /** Guards against figures that differ from those of the formatter that they replace. */
  @Test
  void retryAfterHasThreeDecimals() {
    assertEquals("0.000", RetryAfter.seconds(0));
    assertEquals("0.020", RetryAfter.seconds(20));
    assertEquals("12.345", RetryAfter.seconds(12_345));
  }
}
