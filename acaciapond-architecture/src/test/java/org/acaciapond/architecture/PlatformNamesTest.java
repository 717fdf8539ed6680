package org.acaciapond.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against names of the platform's protocol in main sources outside its adapter. */
class PlatformNamesTest {

  private static final List<String> NAMES =
      List.of(
          "X-Attempt-Id",
          "X-Target-Instance",
          "X-Server-Signature",
          "X-Not-Executed",
          "X-Caller-Service",
          "/v1/r",
          "instances.",
          "rows-",
          "rolled_back",
          "weighted_services",
          "target_latency_ms",
          "canary_share",
          "ACACIAPOND_BOOT");

  @Test
  void mainSourcesOutsideTheAdapterDoNotContainThem() throws IOException {
    Path root = Path.of("").toAbsolutePath().getParent();
    List<String> leaks = new ArrayList<>();
    int filesRead = 0;
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(PlatformNamesTest::isMainSource).toList()) {
        filesRead++;
        String text = Files.readString(file);
        for (String name : NAMES) {
          if (text.contains('"' + name) || text.contains(name + '"')) {
            leaks.add(root.relativize(file) + ": " + name);
          }
        }
      }
    }
    assertFalse(filesRead < 50, "only " + filesRead + " sources found under " + root);
    assertEquals(List.of(), leaks);
  }

  private static boolean isMainSource(Path file) {
    String path = file.toString();
    return path.endsWith(".java") && path.contains("/src/main/") && !path.contains("/platform/")
        || path.endsWith(".java")
            && path.contains("/src/main/")
            && path.contains("/org/acaciapond/sidecar/");
  }
}
