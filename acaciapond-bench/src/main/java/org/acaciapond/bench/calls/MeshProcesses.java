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
 * Ports and process ids of the mesh that the launcher {@code bin/calls-mesh} has started.
 *
 * @param outboundPort outbound port of the calling node
 * @param targetPort port of the target
 * @param nodePids process ids of the two nodes
 */
record MeshProcesses(int outboundPort, int targetPort, List<Integer> nodePids) {

  /** Name of the service of the target. */
  static final String SERVICE = "back";

  private static final String RESIDENT_SIZE_FIELD = "VmRSS:";

  MeshProcesses {
    nodePids = List.copyOf(nodePids);
  }

  /** Returns the number of calls that the target received again. */
  long fetchDuplicates() throws IOException, InterruptedException {
    URI stats = URI.create("http://127.0.0.1:" + targetPort + EchoTarget.STATS_PATH);
    HttpResponse<String> response =
        HttpClient.newHttpClient()
            .send(HttpRequest.newBuilder(stats).build(), HttpResponse.BodyHandlers.ofString());
    return new JsonObject(response.body()).getLong("duplicates");
  }

  /** Returns the resident set sizes of the two nodes as reported by the operating system. */
  String readResidentSizes() throws IOException {
    StringBuilder sizes = new StringBuilder();
    for (int pid : nodePids) {
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith(RESIDENT_SIZE_FIELD)) {
          sizes.append(line.substring(RESIDENT_SIZE_FIELD.length()).trim()).append("; ");
        }
      }
    }
    return sizes.toString();
  }
}
