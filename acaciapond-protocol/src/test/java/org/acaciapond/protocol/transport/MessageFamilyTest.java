package org.acaciapond.protocol.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.acaciapond.protocol.message.LivenessMessage;
import org.junit.jupiter.api.Test;

class MessageFamilyTest {

  /** Guards against bytes that are missing from the total or counted for another family. */
  @Test
  void countsEachFamilyApart() {
    TransportCounters counters = new TransportCounters();
    counters.addSentBytes(MessageFamily.of(new LivenessMessage(false)), 7);
    counters.addSentBytes(MessageFamily.MEMBERSHIP, 11);
    assertEquals(7, counters.sentBytes(MessageFamily.LIVENESS));
    assertEquals(11, counters.sentBytes(MessageFamily.MEMBERSHIP));
    assertEquals(0, counters.sentBytes(MessageFamily.DISTRIBUTION));
    assertEquals(18, counters.sentBytes());
  }
}
