package org.acaciapond.sidecar.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.mesh.call.MeshCall;
import org.acaciapond.mesh.call.MeshResponse;
import org.acaciapond.mesh.call.OpenCall;
import org.acaciapond.mesh.call.Outcome;
import org.acaciapond.mesh.call.Reason;
import org.acaciapond.mesh.peer.NodeRecord;
import org.acaciapond.mesh.peer.PeerCodec;
import org.acaciapond.mesh.peer.PeerMessage;
import org.acaciapond.mesh.target.TargetLoad;
import org.acaciapond.mesh.target.TargetPhase;
import org.acaciapond.mesh.target.TargetStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a link to a node that is a plain socket, so that the test decides when it reads. */
@Timeout(40)
class PeerLinkTest {

  private static final int WAIT_MS = 5_000;
  private static final int SILENT_MS = 1_000;
  private static final int LOST_AFTER_MS = 30_000;
  // More than the buffers of a socket hold.
  private static final int UNREAD_BYTES = 8 << 20;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context loop = vertx.getOrCreateContext();
  private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> disconnected = new LinkedBlockingQueue<>();
  private final CompletableFuture<Void> connected = new CompletableFuture<>();
  private final PeerCodec codec = new PeerCodec();
  private final PeerCodec reading = new PeerCodec();
  private ServerSocket server;
  private Socket accepted;
  private PeerLink link;
  private boolean failsOnMessage;

  @BeforeEach
  void connect() throws Exception {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    NodeRecord node = new NodeRecord("n1", "127.0.0.1", server.getLocalPort(), "z", "orders", 1);
    runOnLoop(
        () -> {
          link =
              new PeerLink(
                  vertx, vertx.createNetClient(), node, true, new Events(), () -> 0.5, time);
          link.connect();
        });
    server.setSoTimeout(WAIT_MS);
    accepted = server.accept();
    accepted.setSoTimeout(WAIT_MS);
    connected.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @AfterEach
  void stop() throws IOException {
    // The client closes its connection only when its pending bytes are written.
    accepted.close();
    server.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void runOnLoop(Runnable action) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        on -> {
          try {
            action.run();
            done.complete(null);
          } catch (RuntimeException e) {
            done.completeExceptionally(e);
          }
        });
    done.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private void write(PeerMessage message) throws IOException {
    byte[] bytes = codec.encode(message);
    DataOutputStream out = new DataOutputStream(accepted.getOutputStream());
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  private static PeerMessage.Status status() {
    TargetStatus status =
        new TargetStatus("i-n1", 1, "orders", "v1", TargetPhase.READY, 4, 0, false, 1);
    return new PeerMessage.Status(status, TargetLoad.NONE, 1, true, null);
  }

  private static MeshCall call(List<String> headers, byte[] body) {
    return call(headers, body, true);
  }

  private static MeshCall call(List<String> headers, byte[] body, boolean idempotent) {
    return new MeshCall(
        "id-1",
        "GET",
        "/a",
        headers,
        body,
        500,
        500,
        1,
        "r",
        "other",
        "i-n1",
        idempotent,
        false,
        "");
  }

  private void acceptOffers() throws Exception {
    NodeRecord self = new NodeRecord("n1", "127.0.0.1", server.getLocalPort(), "z", "orders", 1);
    write(new PeerMessage.Hello(self, -1, false, 0, true, true, true, null));
    assertNotNull(received.poll(WAIT_MS, TimeUnit.MILLISECONDS));
  }

  private PeerMessage read() throws IOException {
    DataInputStream in = new DataInputStream(accepted.getInputStream());
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return reading.decode(bytes);
  }

  private final class Events implements PeerLink.Listener {
    @Override
    public void onConnected(PeerLink from) {
      connected.complete(null);
    }

    @Override
    public void onDisconnected(PeerLink from, String reason) {
      disconnected.add(reason);
    }

    @Override
    public void onMessage(PeerLink from, PeerMessage message) {
      if (failsOnMessage) {
        throw new IllegalStateException("unexpected");
      }
      received.add(message);
    }

    @Override
    public void onSilent(PeerLink from, boolean first) {}
  }

  /**
   * A connection is closed only when its pending bytes are written, so a node that was lost because
   * it did not read may still be heard. Its target would be in use again without a connection.
   */
  @Test
  void messageOfConnectionThatWasLostIsIgnored() throws Exception {
    runOnLoop(() -> link.call(call(List.of(), new byte[UNREAD_BYTES]), response -> {}));
    for (int i = 0; i < 3; i++) {
      runOnLoop(
          () -> {
            time.advance(Duration.ofMillis(LOST_AFTER_MS));
            link.check(true);
          });
    }
    assertNotNull(disconnected.poll(WAIT_MS, TimeUnit.MILLISECONDS));

    write(status());
    assertNull(received.poll(SILENT_MS, TimeUnit.MILLISECONDS));
  }

  /** Guards against a node of an earlier release that passes on an invalid status of its target. */
  @ParameterizedTest
  @ValueSource(ints = {0, 99, 101, 600})
  void answerWithInvalidStatusIsUnknown(int status) throws Exception {
    CompletableFuture<MeshResponse> response = new CompletableFuture<>();
    runOnLoop(() -> link.call(call(List.of(), new byte[0]), response::complete));
    write(
        new PeerMessage.Response(
            0,
            new MeshResponse(
                Outcome.ANSWERED,
                Reason.NONE,
                0,
                status,
                List.of(),
                new byte[0],
                1,
                TargetLoad.NONE)));

    MeshResponse received = response.get(WAIT_MS, TimeUnit.MILLISECONDS);
    assertEquals(Outcome.UNKNOWN, received.outcome());
    assertEquals(Reason.BAD_ANSWER, received.reason());
  }

  /** The dictionary of the sender is ahead of that of the receiver after such a message. */
  @Test
  void connectionIsClosedAfterMessageThatCannotBeEncoded() throws Exception {
    List<String> headers = Arrays.asList("name", "name", null);
    CompletableFuture<MeshResponse> response = new CompletableFuture<>();
    runOnLoop(() -> link.call(call(headers, new byte[0]), response::complete));

    assertEquals(Outcome.UNKNOWN, response.get(WAIT_MS, TimeUnit.MILLISECONDS).outcome());
    assertNotNull(disconnected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    assertEquals(-1, accepted.getInputStream().read());
  }

  /** Guards against a call that must not run twice and is lost in a broken connection. */
  @Test
  void unsafeCallOnQuietConnectionIsNotRunUnlessItsOfferIsAnswered() throws Exception {
    acceptOffers();
    time.advance(Duration.ofMillis(SILENT_MS));
    CompletableFuture<MeshResponse> response = new CompletableFuture<>();
    runOnLoop(() -> link.call(call(List.of(), new byte[0], false), response::complete));

    assertInstanceOf(PeerMessage.CallOffer.class, read());
    assertEquals(Outcome.REFUSED, response.get(WAIT_MS, TimeUnit.MILLISECONDS).outcome());
    write(new PeerMessage.BodyCredit(0, 0));
    assertInstanceOf(PeerMessage.Cancel.class, read());
  }

  /** Guards against a call that is counted as not run although the other node has it all. */
  @Test
  void offeredCallMayHaveRunOnceItsBodyIsSent() throws Exception {
    acceptOffers();
    CompletableFuture<MeshResponse> response = new CompletableFuture<>();
    CompletableFuture<OpenCall> call = new CompletableFuture<>();
    runOnLoop(
        () -> call.complete(link.call(call(List.of(), new byte[30_000]), response::complete)));
    assertInstanceOf(PeerMessage.CallOffer.class, read());
    write(new PeerMessage.BodyCredit(0, 20_000));
    assertEquals(16_384, assertInstanceOf(PeerMessage.BodyPart.class, read()).bytes().length);
    read();
    runOnLoop(() -> assertFalse(call.join().mayHaveRun()));
    write(new PeerMessage.BodyCredit(0, 10_000));
    read();
    runOnLoop(() -> assertTrue(call.join().mayHaveRun()));
    accepted.close();
    assertEquals(Outcome.UNKNOWN, response.get(WAIT_MS, TimeUnit.MILLISECONDS).outcome());
  }

  /** Such a message may have taken effect in part. */
  @Test
  void connectionIsClosedAfterMessageThatCannotBeProcessed() throws Exception {
    failsOnMessage = true;
    write(status());

    assertNotNull(disconnected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    assertEquals(-1, accepted.getInputStream().read());
  }
}
