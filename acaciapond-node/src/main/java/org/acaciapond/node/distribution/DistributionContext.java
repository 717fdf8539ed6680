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

/** Event loop, clock, members and connections that the roles of one node share. */
final class DistributionContext {

  private final Vertx vertx;
  private final Context loop;
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
    this.loop = vertx.getOrCreateContext();
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

  /** Runs work on the event loop that all roles of the node are confined to. */
  void run(Runnable work) {
    loop.runOnContext(ignored -> work.run());
  }

  Member self() {
    return membership.self();
  }

  /** Returns the roles in a failure domain as this node sees its members. */
  DomainRoles roles(String domain) {
    return DomainRoles.of(domain, membership.domainMembers(domain));
  }

  /**
   * Connects to a member; all callbacks run on the event loop.
   *
   * @param member where to connect to
   * @param onOpen receives the connection
   * @param onMessage receives its messages
   * @param onEnd runs once when the connection fails or ends
   */
  void connect(
      Member member,
      Consumer<PeerConnection> onOpen,
      BiConsumer<PeerConnection, Message> onMessage,
      Runnable onEnd) {
    transport
        .connect(new PeerAddress(member.ip(), member.peerPort()))
        .subscribe()
        .with(
            connection -> {
              connection.onMessage(message -> run(() -> onMessage.accept(connection, message)));
              connection.onClose(() -> run(onEnd));
              run(() -> onOpen.accept(connection));
            },
            error -> run(onEnd));
  }
}
