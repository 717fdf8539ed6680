package org.acaciapond.node.distribution;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.protocol.message.Message;
import org.acaciapond.protocol.transport.PeerAddress;
import org.acaciapond.protocol.transport.PeerConnection;
import org.acaciapond.protocol.transport.PeerTransport;

/**
 * Context that the distribution roles of one node share: event loop, clock, members, connections.
 */
final class DistributionContext {

  private final Vertx vertx;
  private final Context eventLoop;
  private final TimeSource time;
  private final RandomGenerator random;
  private final MembershipView membership;
  private final PeerTransport transport;

  DistributionContext(
      Vertx vertx,
      TimeSource time,
      RandomGenerator random,
      MembershipView membership,
      PeerTransport transport) {
    this.vertx = vertx;
    this.eventLoop = vertx.getOrCreateContext();
    this.time = time;
    this.random = random;
    this.membership = membership;
    this.transport = transport;
  }

  Vertx vertx() {
    return vertx;
  }

  TimeSource time() {
    return time;
  }

  RandomGenerator random() {
    return random;
  }

  MembershipView membership() {
    return membership;
  }

  /** Runs work on the event loop that all distribution roles of the node are confined to. */
  void run(Runnable work) {
    eventLoop.runOnContext(ignored -> work.run());
  }

  Member self() {
    return membership.self();
  }

  /** Computes the roles in a failure domain from the members that this node knows. */
  DomainRoles roles(String domain) {
    return DomainRoles.of(domain, membership.domainMembers(domain));
  }

  /**
   * Connects to a member; all callbacks run on the event loop.
   *
   * @param member member to connect to
   * @param onOpen called with the open connection
   * @param onMessage called with each message
   * @param onDisconnected called once when the connection attempt fails or the connection closes
   */
  void connect(
      Member member,
      Consumer<PeerConnection> onOpen,
      BiConsumer<PeerConnection, Message> onMessage,
      Runnable onDisconnected) {
    transport
        .connect(new PeerAddress(member.ip(), member.peerPort()))
        .subscribe()
        .with(
            connection -> {
              connection.onMessage(message -> run(() -> onMessage.accept(connection, message)));
              connection.onClose(() -> run(onDisconnected));
              run(() -> onOpen.accept(connection));
            },
            error -> run(onDisconnected));
  }
}
