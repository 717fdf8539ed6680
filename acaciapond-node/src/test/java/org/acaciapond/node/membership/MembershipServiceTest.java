package org.acaciapond.node.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.membership.GossipEntry;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MemberState;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.PlatformErrorCode;
import org.acaciapond.platform.client.PlatformException;
import org.acaciapond.platform.client.Row;
import org.acaciapond.platform.client.WriteResult;
import org.acaciapond.protocol.codec.CodecRegistry;
import org.acaciapond.protocol.codec.MembershipMessageCodec;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the membership of a few nodes over loopback connections. */
class MembershipServiceTest {

  /** Limit for a test that hangs; no result depends on it. */
  private static final Duration HANG_LIMIT = Duration.ofSeconds(60);

  private final Vertx vertx = Vertx.vertx();
  private final Map<String, Row> rows = new ConcurrentHashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private volatile boolean platformDown;

  private final class Node {
    final LocalTarget localTarget = new LocalTarget();
    final PeerTransport transport;
    final MembershipService service;

    Node(String hostId, String domain, List<NodeAddress> seeds) {
      transport =
          new PeerTransport(
              vertx,
              new CodecRegistry(List.of(new MembershipMessageCodec())),
              new PeerAddress("127.0.0.1", 0),
              connection -> connection.onMessage(m -> serviceOf().onMessage(connection, m)));
      service =
          new MembershipService(
              vertx,
              TimeSource.system(),
              transport,
              () -> self(hostId, domain),
              localTarget,
              "proofing",
              seeds,
              new Platform(),
              () -> true,
              200,
              300);
      transport.start().await().atMost(HANG_LIMIT);
      service.start().await().atMost(HANG_LIMIT);
      nodes.add(this);
    }

    private MembershipService serviceOf() {
      return service;
    }

    private Member self(String hostId, String domain) {
      int port = transport.isListening() ? transport.address().port() : 0;
      long incarnation = System.currentTimeMillis();
      return new Member(
          hostId, incarnation, "127.0.0.1", port, 9, domain, "r", "", "", 1, MemberState.ALIVE);
    }

    NodeAddress address() {
      return new NodeAddress("127.0.0.1", transport.address().port());
    }
  }

  private final class Platform implements PlatformClient {

    @Override
    public Uni<Optional<Row>> readRow(String key) {
      return platformDown ? failure() : Uni.createFrom().item(Optional.ofNullable(rows.get(key)));
    }

    @Override
    public Uni<List<Row>> listRows(String prefix) {
      return platformDown
          ? failure()
          : Uni.createFrom()
              .item(rows.values().stream().filter(r -> r.key().startsWith(prefix)).toList());
    }

    @Override
    public Uni<WriteResult> writeRow(String key, long expectedRevision, byte[] value) {
      if (platformDown) {
        return failure();
      }
      Row current = rows.get(key);
      if ((current == null ? 0 : current.revision()) != expectedRevision) {
        return Uni.createFrom().item(new WriteResult(WriteResult.Outcome.NOT_APPLIED, 0));
      }
      rows.put(key, new Row(key, expectedRevision + 1, value));
      return Uni.createFrom()
          .item(new WriteResult(WriteResult.Outcome.APPLIED, expectedRevision + 1));
    }

    @Override
    public Uni<Optional<byte[]>> readObject(String digest) {
      return failure();
    }

    @Override
    public Uni<String> writeObject(byte[] bytes) {
      return failure();
    }

    private <T> Uni<T> failure() {
      return Uni.createFrom()
          .failure(new PlatformException(PlatformErrorCode.PLATFORM_UNAVAILABLE, "down", null));
    }
  }

  @AfterEach
  void stop() {
    nodes.forEach(node -> node.service.stop().await().atMost(HANG_LIMIT));
    nodes.forEach(node -> node.transport.stop().await().atMost(HANG_LIMIT));
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static void await(BooleanSupplier condition, String message) throws InterruptedException {
    long endNanos = System.nanoTime() + HANG_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < endNanos, message);
      Thread.sleep(20);
    }
  }

  private static boolean hasMembers(Node node, int members) {
    return node.service.members().size() == members;
  }

  @Test
  void targetIsListedUntilItsNodeLeavesAndValuesReachAllNodes() throws Exception {
    platformDown = true;
    final Node first = new Node("h1", "a", List.of());
    Node second = new Node("h2", "a", List.of(first.address()));
    Node third = new Node("h3", "b", List.of(first.address()));
    await(
        () -> hasMembers(first, 3) && hasMembers(second, 3) && hasMembers(third, 3),
        "views differ");
    assertEquals(
        List.of(), first.service.targets("proofing"), "target listed before its announcement");
    second.localTarget.announce(new LocalTarget.Announcement("v2", 80, 3, false));
    await(() -> third.service.targets("proofing").size() == 1, "announced target not listed");
    assertEquals("v2", third.service.targets("proofing").get(0).version());
    third.service.publish(new GossipEntry("grant/proofing", 4, new byte[] {1}));
    await(
        () -> first.service.get("grant/proofing").isPresent(),
        "value did not reach the first node");
    second.service.stop().await().atMost(HANG_LIMIT);
    await(
        () -> third.service.targets("proofing").isEmpty(),
        "target of the leaving node still listed");
  }

  /** Guards against a node that goes on with its stop before it has announced its leaving. */
  @Test
  void secondStopWaitsForTheLeavingLikeTheFirst() {
    platformDown = true;
    Node node = new Node("h1", "a", List.of());
    CompletableFuture<Void> first = node.service.stop().subscribeAsCompletionStage();
    node.service.stop().await().atMost(HANG_LIMIT);
    assertTrue(first.isDone());
  }

  @Test
  void nodesWithoutConfiguredSeedsJoinThroughSeedRows() throws Exception {
    Node first = new Node("h1", "a", List.of());
    await(() -> rows.containsKey("seeds/a"), "seed row not written");
    Node second = new Node("h2", "a", List.of());
    Node third = new Node("h3", "b", List.of());
    await(
        () -> hasMembers(first, 3) && hasMembers(second, 3) && hasMembers(third, 3),
        "views differ");
    await(
        () -> SeedRow.decode(rows.get("seeds/a").value()).size() == 2,
        "second node not added to the seed row");
  }

  @Test
  void unreachableNodeIsRemovedFromTheView() throws Exception {
    platformDown = true;
    final Node first = new Node("h1", "a", List.of());
    final Node second = new Node("h2", "a", List.of(first.address()));
    Node third = new Node("h3", "a", List.of(first.address()));
    await(
        () -> hasMembers(first, 3) && hasMembers(second, 3) && hasMembers(third, 3),
        "views differ");
    third.transport.stop().await().atMost(HANG_LIMIT);
    await(
        () -> hasMembers(first, 2) && hasMembers(second, 2), "unreachable node still in the view");
  }

  @Test
  void malformedSeedRowYieldsNoAddress() {
    assertEquals(List.of(), SeedRow.decode("{\"no\":1}".getBytes()));
    assertEquals(List.of(), SeedRow.decode("[\"host\"]".getBytes()));
    assertEquals(List.of(), SeedRow.decode(new byte[] {0, 1}));
  }
}
