package org.acaciapond.bench.calls;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Nodes and target that the launcher {@code bin/calls-mesh} has started.
 *
 * @param outboundPort outbound port of the caller's node
 * @param targetPort port of the target
 * @param nodePids process ids of the two nodes
 */
record RunningMesh(int outboundPort, int targetPort, List<Integer> nodePids) {

  /** Service of the target. */
  static final String SERVICE = "back";

  private static final String RESIDENT_FIELD = "VmRSS:";

  RunningMesh {
    nodePids = List.copyOf(nodePids);
  }

  /** Returns how many calls the target received more than once. */
  long duplicates() throws IOException, InterruptedException {
    URI stats = URI.create("http://127.0.0.1:" + targetPort + EchoTarget.STATS_PATH);
    HttpResponse<String> answer =
        HttpClient.newHttpClient()
            .send(HttpRequest.newBuilder(stats).build(), HttpResponse.BodyHandlers.ofString());
    return new JsonObject(answer.body()).getLong("duplicates");
  }

  /** Returns the resident sizes of the two nodes, as the operating system states them. */
  String residentSizes() throws IOException {
    StringBuilder sizes = new StringBuilder();
    for (int pid : nodePids) {
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith(RESIDENT_FIELD)) {
          sizes.append(line.substring(RESIDENT_FIELD.length()).trim()).append("; ");
        }
      }
    }
    return sizes.toString();
  }
}
