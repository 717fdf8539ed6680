package org.acaciapond.node.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.MembershipPacket;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the connection limit of {@link PeerLinks}. */
class PeerLinksTest {

  private static final int RECEIVERS = 48;
  private static final int MAX_CONNECTIONS = 32;

  /** Limit for a test that hangs; no result depends on it. */
  private static final Duration HANG_LIMIT = Duration.ofSeconds(60);

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger received = new AtomicInteger();

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Guards against one open connection per receiver, and against packets lost to the limit. */
  @Test
  void keepsBoundedConnectionsAndLosesNoPacket() throws InterruptedException {
    PeerTransport sender = startTransport();
    Context context = vertx.getOrCreateContext();
    PeerLinks links =
        new PeerLinks(context, sender, new SplittableRandom(1), (connection, message) -> {});
    NodeAddress own = new NodeAddress("127.0.0.1", sender.address().port());
    List<NodeAddress> receivers = new ArrayList<>();
    for (int i = 0; i < RECEIVERS; i++) {
      receivers.add(new NodeAddress("127.0.0.1", startTransport().address().port()));
    }
    for (int i = 0; i < RECEIVERS; i++) {
      long nowMs = i;
      MembershipPacket packet =
          new MembershipPacket("host-0", 1, own, new MembershipBody.Ping(i), List.of(), List.of());
      NodeAddress receiver = receivers.get(i);
      context.runOnContext(ignored -> links.send(receiver, packet, nowMs));
      int expected = i + 1;
      await(() -> received.get() >= expected);
    }
    await(() -> openConnections.get() <= MAX_CONNECTIONS);
    assertTrue(openConnections.get() > 0);
  }

  private PeerTransport startTransport() {
    PeerTransport transport =
        new PeerTransport(
            vertx,
            new CodecRegistry(List.of(new MembershipMessageCodec())),
            new PeerAddress("127.0.0.1", 0),
            this::accept);
    transport.start().await().atMost(HANG_LIMIT);
    return transport;
  }

  private void accept(PeerConnection connection) {
    openConnections.incrementAndGet();
    connection.onClose(openConnections::decrementAndGet);
    connection.onMessage(message -> received.incrementAndGet());
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long endNanos = System.nanoTime() + HANG_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < endNanos, "condition not met");
      Thread.sleep(5);
    }
  }
}
