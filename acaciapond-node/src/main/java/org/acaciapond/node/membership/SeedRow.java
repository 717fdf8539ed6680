package org.acaciapond.node.membership;

import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.membership.NodeAddress;
import org.acaciapond.membership.RendezvousHash;
import org.acaciapond.platform.client.PlatformClient;
import org.acaciapond.platform.client.Row;
import org.acaciapond.protocol.transport.PeerAddress;

/** Platform row with the addresses of some nodes of a failure domain, as a JSON array. */
final class SeedRow {

  private static final String KEY_PREFIX = "seeds/";
  private static final int MAX_ADDRESSES = 8;

  private final PlatformClient platform;
  private final String key;

  SeedRow(PlatformClient platform, String failureDomain) {
    this.platform = platform;
    this.key = KEY_PREFIX + failureDomain;
  }

  /** Reads the addresses of all failure domains. */
  Uni<List<NodeAddress>> readAll() {
    return platform
        .listRows(KEY_PREFIX)
        .map(rows -> rows.stream().flatMap(row -> decode(row.value()).stream()).toList());
  }

  /** Returns whether this node maintains the row of its failure domain. */
  boolean isMaintainer(MembershipView view) {
    Member self = view.self();
    List<Member> lowest = RendezvousHash.lowest(view.domainMembers(self.failureDomain()), key, 1);
    return !lowest.isEmpty() && lowest.get(0).hostId().equals(self.hostId());
  }

  /** Writes the row if its addresses are not those of the members that should be listed. */
  Uni<Void> update(MembershipView view) {
    List<NodeAddress> expected =
        RendezvousHash.lowest(view.domainMembers(view.self().failureDomain()), key, MAX_ADDRESSES)
            .stream()
            .map(NodeAddress::of)
            .toList();
    return platform
        .readRow(key)
        .chain(
            row -> {
              List<NodeAddress> current = row.map(r -> decode(r.value())).orElse(List.of());
              if (current.equals(expected)) {
                return Uni.createFrom().voidItem();
              }
              long revision = row.map(Row::revision).orElse(0L);
              return platform.writeRow(key, revision, encode(expected)).replaceWithVoid();
            });
  }

  static byte[] encode(List<NodeAddress> addresses) {
    JsonArray array = new JsonArray();
    addresses.forEach(address -> array.add(address.ip() + ":" + address.port()));
    return array.toBuffer().getBytes();
  }

  /** Decodes addresses; stops at the first malformed one and returns those before it. */
  static List<NodeAddress> decode(byte[] value) {
    List<NodeAddress> addresses = new ArrayList<>();
    try {
      for (Object item : new JsonArray(Buffer.buffer(value))) {
        PeerAddress address = PeerAddress.parse(String.valueOf(item));
        if (addresses.size() < MAX_ADDRESSES) {
          addresses.add(new NodeAddress(address.ip(), address.port()));
        }
      }
    } catch (DecodeException | IllegalArgumentException e) {
      return List.copyOf(addresses);
    }
    return addresses;
  }
}
