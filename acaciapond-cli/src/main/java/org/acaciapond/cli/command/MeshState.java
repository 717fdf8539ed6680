package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.acaciapond.cli.output.Output;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.HeadState;
import org.acaciapond.platform.client.PlatformClient;

/**
 * Snapshot of the head, the rollouts and the taken-back versions in the platform's table.
 *
 * @param head head of the configuration; empty if there is no configuration yet
 * @param rollouts rows of rollouts
 * @param takenBack rows of taken-back versions
 */
record MeshState(Optional<ConfigHead> head, List<RowState> rollouts, List<RowState> takenBack) {

  private static final int SHORT_DIGEST_CHARS = 12;

  static MeshState read(PlatformClient platform) {
    return new MeshState(
        HeadState.read(platform).await().indefinitely().head(),
        readRows(platform, RowState.ROLLOUT_PREFIX),
        readRows(platform, RowState.TAKEN_BACK_PREFIX));
  }

  private static List<RowState> readRows(PlatformClient platform, String prefix) {
    return platform.listRows(prefix).await().indefinitely().stream().map(RowState::of).toList();
  }

  static String formatHead(ConfigHead head) {
    return "head: version %d of epoch %d, operator %s, edit %s, digest %s"
        .formatted(
            head.sequence(),
            head.epoch(),
            head.operator(),
            head.editId(),
            shortenDigest(head.digest()));
  }

  static ObjectNode toJson(ConfigHead head) {
    return Output.object()
        .put("epoch", head.epoch())
        .put("sequence", head.sequence())
        .put("digest", head.digest())
        .put("editId", head.editId())
        .put("operator", head.operator());
  }

  static String shortenDigest(String digest) {
    return digest.substring(0, Math.min(SHORT_DIGEST_CHARS, digest.length()));
  }
}
