package org.acaciapond.mesh.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Choice of the node that collects the tokens of a limit: a few nodes by their hashes, and one of
 * these for each limit by rendezvous hashing. Nodes that see different members choose differently,
 * which divides the tokens between the chosen nodes but does not multiply them.
 */
final class CollectorChoice {

  private final List<String> collectors;

  /** Node with its hash. */
  private record RankedNode(long hash, String node) {}

  CollectorChoice(Collection<String> nodes) {
    int count = (int) Math.ceil(Math.sqrt(nodes.size()));
    collectors =
        nodes.stream()
            .map(node -> new RankedNode(hash(node, ""), node))
            .sorted(Comparator.comparingLong(RankedNode::hash).thenComparing(RankedNode::node))
            .limit(count)
            .map(RankedNode::node)
            .toList();
  }

  /** Returns the node that collects the tokens of a limit. */
  String of(String limit) {
    String best = collectors.get(0);
    long bestHash = hash(best, limit);
    for (String node : collectors) {
      long nodeHash = hash(node, limit);
      if (nodeHash > bestHash) {
        best = node;
        bestHash = nodeHash;
      }
    }
    return best;
  }

  // FNV-1a with the finalizer of MurmurHash3: equal on all nodes and evenly distributed.
  private static long hash(String node, String limit) {
    long value = 0xcbf29ce484222325L;
    String text = node + '\n' + limit;
    for (int i = 0; i < text.length(); i++) {
      value = (value ^ text.charAt(i)) * 0x100000001b3L;
    }
    value = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
    value = (value ^ value >>> 33) * 0xc4ceb9fe1a85ec53L;
    return value ^ value >>> 33;
  }
}
