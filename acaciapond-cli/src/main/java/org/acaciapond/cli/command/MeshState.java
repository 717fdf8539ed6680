package org.acaciapond.cli.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.acaciapond.cli.output.Output;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.HeadState;
import org.acaciapond.platform.client.PlatformClient;

/**
 * What the platform's table says at one time.
 *
 * @param head head of the configuration, if there is one
 * @param rollouts rows of rollouts
 * @param takenBack rows of taken-back facts
 */
record MeshState(Optional<ConfigHead> head, List<RowState> rollouts, List<RowState> takenBack) {

  private static final int SHORT_DIGEST_LENGTH = 12;

  static MeshState read(PlatformClient platform) {
    return new MeshState(
        HeadState.read(platform).await().indefinitely().head(),
        rows(platform, RowState.ROLLOUT_PREFIX),
        rows(platform, RowState.TAKEN_BACK_PREFIX));
  }

  private static List<RowState> rows(PlatformClient platform, String prefix) {
    return platform.listRows(prefix).await().indefinitely().stream().map(RowState::of).toList();
  }

  static String headLine(ConfigHead head) {
    return "head: version %d of epoch %d, operator %s, edit %s, digest %s"
        .formatted(
            head.sequence(),
            head.epoch(),
            head.operator(),
            head.editId(),
            shortDigest(head.digest()));
  }

  static ObjectNode headJson(ConfigHead head) {
    return Output.object()
        .put("epoch", head.epoch())
        .put("sequence", head.sequence())
        .put("digest", head.digest())
        .put("editId", head.editId())
        .put("operator", head.operator());
  }

  static String shortDigest(String digest) {
    return digest.substring(0, Math.min(SHORT_DIGEST_LENGTH, digest.length()));
  }
}
