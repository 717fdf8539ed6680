package org.acaciapond.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BodyBufferTest {

  private static byte[] bytes(int count) {
    byte[] bytes = new byte[count];
    new Random(count).nextBytes(bytes);
    return bytes;
  }

  /** Guards against bodies that arrive in another order, or with a part missing. */
  @ParameterizedTest
  @CsvSource({"1,1,0", "5000,1,0", "5000,700,5000", "300000,65536,0", "300000,65536,300000"})
  void bodyIsReceivedInPiecesOfAnySize(int total, int piece, int announced) {
    byte[] body = bytes(total);
    BodyBuffer buffer = new BodyBuffer();
    buffer.expect(announced);
    for (int from = 0; from < total; from += piece) {
      buffer.add(Unpooled.wrappedBuffer(body, from, Math.min(piece, total - from)));
    }
    assertEquals(total, buffer.size());
    assertArrayEquals(body, buffer.take());
    assertEquals(0, buffer.size());
    buffer.add(Unpooled.wrappedBuffer(bytes(3)));
    assertArrayEquals(bytes(3), buffer.take());
  }

  /** A body may wait for memory after its first bytes. */
  @Test
  void lengthMayBeAnnouncedAfterTheFirstBytes() {
    byte[] body = bytes(200_000);
    BodyBuffer buffer = new BodyBuffer();
    buffer.add(Unpooled.wrappedBuffer(body, 0, 70_000));
    buffer.add(Unpooled.wrappedBuffer(body, 70_000, 70_000));
    buffer.expect(200_000);
    buffer.add(Unpooled.wrappedBuffer(body, 140_000, 60_000));
    assertArrayEquals(body, buffer.take());
  }
}
