package org.acaciapond.mesh.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class StateDeltaTest {

  private static byte[] text(int rows, int changedRow, String change) {
    Random random = new Random(5);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < rows; i++) {
      String prefix = Long.toString(random.nextLong(), 36);
      text.append("[\"r-").append(i).append("\",\"").append(i == changedRow ? change : prefix);
      text.append("\",\"idempotent\",1200,600,2,\"orders\",3],");
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  @Property(tries = 300, seed = "1")
  void valueIsRestoredWhateverItsBase(
      @ForAll @Size(max = 300) byte[] base,
      @ForAll @Size(max = 300) byte[] value,
      @ForAll @IntRange(max = 300) int from,
      @ForAll @IntRange(max = 300) int count) {
    int start = Math.min(from, base.length);
    byte[] repeated = Arrays.copyOfRange(base, start, Math.min(base.length, start + count));
    byte[] mixed = Arrays.copyOf(value, value.length + repeated.length);
    System.arraycopy(repeated, 0, mixed, value.length, repeated.length);
    assertArrayEquals(mixed, StateDelta.decode(base, StateDelta.encode(base, mixed)));
  }

  @Property(tries = 300, seed = "1")
  void malformedDeltaIsRejected(
      @ForAll @Size(max = 100) byte[] base, @ForAll @Size(max = 200) byte[] delta) {
    assertThrows(PeerException.class, () -> StateDelta.decode(base, delta));
  }

  @Test
  void changeOfOneRowIsSmall() {
    byte[] base = text(2_400, -1, "");
    byte[] value = text(2_400, 1_200, "a-longer-prefix-than-before");
    byte[] delta = StateDelta.encode(base, value);
    assertTrue(delta.length < 200, delta.length + " bytes");
    assertArrayEquals(value, StateDelta.decode(base, delta));
  }

  /** Guards against a state that is put together from a row of another version. */
  @Test
  void deltaToAnotherBaseIsRejected() {
    byte[] base = text(50, -1, "");
    byte[] delta = StateDelta.encode(base, text(50, 10, "x"));
    byte[] other = text(50, 20, "fourteen-bytes");
    assertThrows(PeerException.class, () -> StateDelta.decode(other, delta));
  }
}
