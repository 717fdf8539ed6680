package org.acaciapond.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.common.time.TimeSource;
import org.acaciapond.config.version.ConfigVersion;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the command {@code explain} with an HTTP server in place of a node. */
class ExplainCommandTest {

  private static final String KEY = "key-31b7";
  private static final String ANSWER =
      """
      {"node":"n1","domain":"z1","host":"h","path":"/a/1","method":"GET","state_version":7,
       "verdict":"ROUTED","account":"acme","limit_requests_per_s":10.0,"limit_burst":20.0,
       "route":{"name":"r1","path_prefix":"/a/","kind":"IDEMPOTENT","priority":2,
         "timeout_ms":800,"open":false},
       "services":[{"service":"s","weight":3,"chosen":"n2","alternatives":1,
         "unproven_share_permille":50,"chosen_for_unproven":"n4","omitted_candidates":6,
         "candidates":[
         {"node":"n2","domain":"z1","target":"i-n2","version":"v1","phase":"READY",
          "state":"ELIGIBLE","cost":0.0123},
         {"node":"n3","domain":"z2","target":"i-n3","version":"v1","phase":"DRAINING",
          "state":"NOT_READY"}]},
         {"service":"t","weight":1,"chosen":null,"candidates":[]}]}
      """;

  @TempDir private Path directory;
  private final Vertx vertx = Vertx.vertx();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final StringBuilder transcript = new StringBuilder();
  private String node = "";
  private String keyFile = "";
  private volatile int status = 200;
  private volatile String answer = ANSWER;

  @BeforeEach
  void startServer() throws IOException {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  received.add(request.uri() + " " + request.getHeader("Authorization"));
                  request.response().setStatusCode(status).end(answer);
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    node = "127.0.0.1:" + server.actualPort();
    keyFile = Files.writeString(directory.resolve("key"), KEY + "\n").toString();
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ExitCode run(String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream printer = new PrintStream(out, true, StandardCharsets.UTF_8);
    ExitCode code =
        new Cli(
                printer,
                printer,
                address -> new FakePlatform(),
                address -> ConfigVersion.NONE,
                new HttpNodeExplainer(vertx, 2_000),
                TimeSource.system(),
                () -> false)
            .run(args);
    transcript.append("$ acaciapond ").append(String.join(" ", args)).append('\n').append(out);
    transcript.append("exit ").append(code.code()).append("\n\n");
    return code;
  }

  private void ask(String... more) {
    String[] fixed = {"explain", "--node", node, "--host", "h", "--path", "/a/1?b=c&d"};
    String[] args = java.util.Arrays.copyOf(fixed, fixed.length + more.length);
    System.arraycopy(more, 0, args, fixed.length, more.length);
    run(args);
  }

  /** Guards against an unintended change of what operators and scripts read. */
  @Test
  void outputIsStable() throws IOException {
    ask("--key-file", keyFile);
    ask("--json");
    for (String verdict : List.of("NO_ROUTE", "UNAUTHORIZED", "NOT_CONFIGURED")) {
      answer = "{\"verdict\":\"" + verdict + "\"}";
      ask("--method", "POST");
    }
    status = 404;
    ask();
    status = 400;
    ask();
    status = 200;
    answer = "[]";
    ask();
    ask("--key-file", directory.resolve("none").toString());
    ask("--key-file", Files.writeString(directory.resolve("two"), "a b").toString());
    run("explain", "--node", "nowhere", "--path", "a", "--method", "a b");
    run("explain", "--by", "10m", "--limit", "3");
    run("status", "--host", "h");
    String text = transcript.toString().replace(directory.toString(), "DIR").replace(node, "NODE");
    Approvals.verify(text.replaceAll(" +\n", "\n"));
  }

  /** Guards against a key in a URI, which others may log, and in the output. */
  @Test
  void keyIsSentInHeaderOnly() {
    ask("--key-file", keyFile, "--json");
    assertEquals(
        List.of("/explain?host=h&path=%2Fa%2F1%3Fb%3Dc%26d&method=GET Bearer " + KEY), received);
    assertFalse(transcript.toString().contains(KEY));
    assertTrue(transcript.toString().contains("exit 0"));
  }
}
