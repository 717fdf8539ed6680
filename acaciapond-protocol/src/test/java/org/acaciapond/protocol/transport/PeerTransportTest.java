package org.acaciapond.protocol.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.MembershipBody;
import org.acaciapond.membership.internal.PacketBuilder;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.message.MembershipMessage;
import org.acaciapond.protocol.message.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests connections to peers that are silent, slow, malformed or untrusted. */
class PeerTransportTest {

  /** Timeout that ends a hanging test; no result depends on it. */
  private static final Duration TEST_TIMEOUT = Duration.ofSeconds(30);

  private static final TransportOptions SHORT_TIMEOUTS =
      new TransportOptions(50, 100, 60_000, 256 * 1024, 50, null);

  private final Vertx vertx = Vertx.vertx();
  private final List<PeerTransport> transports = new ArrayList<>();
  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private final CountDownLatch acceptedConnectionClosed = new CountDownLatch(1);

  @AfterEach
  void stop() {
    transports.forEach(transport -> transport.stop().await().atMost(TEST_TIMEOUT));
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private PeerTransport startTransport(TransportOptions options) {
    PeerTransport transport =
        new PeerTransport(
            vertx,
            new CodecRegistry(List.of(new MembershipMessageCodec())),
            new PeerAddress("127.0.0.1", 0),
            connection -> {
              connection.onMessage(received::add);
              connection.onClose(acceptedConnectionClosed::countDown);
            },
            options);
    transport.start().await().atMost(TEST_TIMEOUT);
    transports.add(transport);
    return transport;
  }

  private static Message message(int entryBytes) {
    Member self = new Member("h", 1, "127.0.0.1", 1, 1, "a", "r", "", "", 1, MemberState.ALIVE);
    PacketBuilder builder = new PacketBuilder(self, new MembershipBody.Ping(1));
    builder.add(new org.acaciapond.membership.GossipEntry("k", 1, new byte[entryBytes]));
    return new MembershipMessage(builder.build());
  }

  private static void await(CountDownLatch latch) throws InterruptedException {
    assertTrue(latch.await(TEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS), "not closed");
  }

  private CountDownLatch closeLatch(PeerConnection connection) {
    CountDownLatch latch = new CountDownLatch(1);
    connection.onClose(latch::countDown);
    return latch;
  }

  private void assertDelivers(PeerTransport transport) throws InterruptedException {
    received.clear();
    PeerConnection connection = transport.connect(transport.address()).await().atMost(TEST_TIMEOUT);
    connection.send(message(10));
    assertTrue(received.poll(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS) != null, "not delivered");
  }

  @Test
  void aConnectionWhoseOtherSideNeverRespondsIsClosedAndCounted() throws Exception {
    PeerTransport transport = startTransport(SHORT_TIMEOUTS);
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      PeerConnection connection =
          transport
              .connect(new PeerAddress("127.0.0.1", silent.getLocalPort()))
              .await()
              .atMost(TEST_TIMEOUT);
      await(closeLatch(connection));
      assertEquals(1, transport.counters().silentConnections());
    }
  }

  @Test
  void aConnectionThatRespondsStaysOpenPastTheResponseTimeoutAndIsClosedWhenIdle()
      throws Exception {
    PeerTransport transport =
        startTransport(new TransportOptions(50, 200, 1_500, 1_000_000, 50, null));
    PeerConnection connection = transport.connect(transport.address()).await().atMost(TEST_TIMEOUT);
    await(closeLatch(connection));
    assertEquals(0, transport.counters().silentConnections(), "responses were not received");
    assertTrue(transport.counters().idleConnections() >= 1);
  }

  @Test
  void aPeerThatDoesNotReadIsDroppedInsteadOfFillingTheMemory() throws Exception {
    PeerTransport transport =
        startTransport(new TransportOptions(60_000, 60_000, 60_000, 65_536, 50, null));
    try (ServerSocket slow = new ServerSocket()) {
      slow.setReceiveBufferSize(4_096);
      slow.bind(new java.net.InetSocketAddress("127.0.0.1", 0));
      PeerConnection connection =
          transport
              .connect(new PeerAddress("127.0.0.1", slow.getLocalPort()))
              .await()
              .atMost(TEST_TIMEOUT);
      final CountDownLatch closed = closeLatch(connection);
      for (int i = 0; i < 100_000 && transport.counters().slowPeers() == 0; i++) {
        connection.send(message(600));
      }
      await(closed);
      assertEquals(1, transport.counters().slowPeers());
    }
  }

  @Test
  void aMalformedFrameClosesThatConnectionAloneAndIsCounted() throws Exception {
    PeerTransport transport = startTransport(TransportOptions.DEFAULTS);
    PeerConnection healthy = transport.connect(transport.address()).await().atMost(TEST_TIMEOUT);
    byte[][] frames = {
      frame(Integer.MAX_VALUE, 2),
      frame(-1, 2),
      frame(0, 2),
      frame(1_201, 2),
      frame(5, 99),
      frame(3, 2, (byte) 0xc1, (byte) 0xc1),
    };
    for (int i = 0; i < frames.length; i++) {
      try (Socket socket = new Socket("127.0.0.1", transport.address().port())) {
        socket.setSoTimeout((int) TEST_TIMEOUT.toMillis());
        OutputStream out = socket.getOutputStream();
        out.write(frames[i]);
        out.flush();
        while (socket.getInputStream().read() >= 0) {
          // Liveness checks may arrive before the end of the connection.
        }
      }
      assertEquals(i + 1, transport.counters().malformedFrames());
    }
    healthy.send(message(10));
    assertTrue(
        received.poll(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS) != null,
        "healthy connection was closed");
  }

  private static byte[] frame(int length, int type, byte... rest) {
    return ByteBuffer.allocate(5 + rest.length).putInt(length).put((byte) type).put(rest).array();
  }

  @Test
  void aPeerWithAnUntrustedKeyDeliversNothing(@TempDir Path directory) throws Exception {
    TlsFiles good = TestCertificate.write(directory, "good");
    TlsFiles wrongKey = TestCertificate.write(directory, "wrong");
    PeerTransport server = startTransport(TransportOptions.DEFAULTS.withTls(good));
    assertDelivers(server);
    received.clear();
    PeerTransport untrusted =
        startTransport(
            TransportOptions.DEFAULTS.withTls(
                new TlsFiles(wrongKey.keyPath(), wrongKey.certificatePath(), good.trustPath())));
    try {
      PeerConnection connection = untrusted.connect(server.address()).await().atMost(TEST_TIMEOUT);
      CountDownLatch closed = closeLatch(connection);
      connection.send(message(10));
      await(closed);
    } catch (org.acaciapond.protocol.codec.ProtocolException expected) {
      assertTrue(expected.getMessage() != null);
    }
    assertTrue(received.isEmpty(), "message of an untrusted peer was delivered");
  }

  @Test
  void newKeyFilesAreUsedWithoutARestartAndBrokenOnesAreNot(@TempDir Path directory)
      throws Exception {
    TlsFiles first = TestCertificate.write(directory, "first");
    TlsFiles second = TestCertificate.write(directory, "second");
    TlsFiles used =
        new TlsFiles(
            directory.resolve("used.key").toString(),
            directory.resolve("used.crt").toString(),
            directory.resolve("used.crt").toString());
    copy(first, used);
    TransportOptions manual = new TransportOptions(1_000, 2_000, 60_000, 1_000_000, 600_000, used);
    PeerTransport transport = startTransport(manual);
    final PeerTransport other = startTransport(TransportOptions.DEFAULTS.withTls(second));
    copy(second, used);
    transport.reloadTls().await().atMost(TEST_TIMEOUT);
    received.clear();
    PeerConnection connection = other.connect(transport.address()).await().atMost(TEST_TIMEOUT);
    connection.send(message(10));
    assertTrue(received.poll(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS) != null, "not reloaded");
    Files.writeString(Path.of(used.keyPath()), "no key");
    assertThrows(
        org.acaciapond.protocol.codec.ProtocolException.class,
        () -> transport.reloadTls().await().atMost(TEST_TIMEOUT));
    assertDelivers(transport);
  }

  private static void copy(TlsFiles from, TlsFiles to) throws java.io.IOException {
    Files.writeString(Path.of(to.keyPath()), Files.readString(Path.of(from.keyPath())));
    Files.writeString(
        Path.of(to.certificatePath()), Files.readString(Path.of(from.certificatePath())));
  }
}
