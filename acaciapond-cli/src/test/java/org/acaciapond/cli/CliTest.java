package org.acaciapond.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.acaciapond.cli.command.NodeStatusReader;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.cli.output.ExitCode;
import org.acaciapond.cli.output.Output;
import org.acaciapond.common.time.ManualTimeSource;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.platform.PlatformServer;
import org.acaciapond.platform.client.HttpPlatformClient;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CliTest {

  private static final String TEXT =
      """
      {"services":[{"name":"proofing","versions":[{"name":"v1"},{"name":"v2"}],
        "current_version":"v1"}]}
      """;

  @TempDir private Path directory;
  private final FakePlatform platform = new FakePlatform();
  private final ManualTimeSource time = new ManualTimeSource(Instant.parse("2026-12-04T07:00:00Z"));
  private final Deque<Runnable> polls = new ArrayDeque<>();
  private final StringBuilder transcript = new StringBuilder();
  private String file = "";

  @BeforeEach
  void writeText() throws IOException {
    file = Files.writeString(directory.resolve("mesh.json"), TEXT).toString();
  }

  private static ConfigVersion nodeStatus(String address) {
    if (address.endsWith(":1")) {
      throw new CliException(CliErrorCode.UNAVAILABLE, "no answer", null);
    }
    return new ConfigVersion(1, 1, "d");
  }

  private boolean runNextPoll() {
    Runnable poll = polls.poll();
    if (poll != null) {
      poll.run();
    }
    return poll != null;
  }

  /** Runs a command and appends what it printed to the transcript. */
  private ExitCode run(String... args) {
    return run(address -> platform, CliTest::nodeStatus, args);
  }

  private ExitCode run(PlatformAccess platforms, NodeStatusReader nodes, String... args) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    ExitCode code =
        new Cli(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                platforms,
                nodes,
                (address, question, key) -> Output.object(),
                time,
                this::runNextPoll)
            .run(args);
    transcript.append("$ acaciapond ").append(String.join(" ", args)).append('\n');
    out.toString(StandardCharsets.UTF_8).lines().forEach(l -> append("out", l));
    err.toString(StandardCharsets.UTF_8).lines().forEach(l -> append("err", l));
    transcript.append("exit ").append(code.code()).append("\n\n");
    return code;
  }

  private void append(String stream, String line) {
    transcript.append(stream).append("| ").append(line).append('\n');
  }

  /** Returns the transcript with random identifiers, digests and paths replaced. */
  private String normalizedTranscript() {
    return transcript
        .toString()
        .replace(directory.toString(), "DIR")
        .replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "EDIT")
        .replaceAll("\\b[0-9a-f]{64}\\b", "DIGEST")
        .replaceAll("digest [0-9a-f]{12}\\b", "digest SHORT");
  }

  private void runSession(String... common) throws IOException {
    final String invalidFile =
        Files.writeString(directory.resolve("bad.json"), "{\"service\":[]}").toString();
    runCommand(common, "status");
    runCommand(common, "history");
    runCommand(common, "rollout", "proofing", "v2", "--by", "10m");
    runCommand(common, "validate", file);
    runCommand(common, "validate", invalidFile);
    runCommand(common, "apply", invalidFile);
    runCommand(common, "validate", directory.resolve("none.json").toString());
    runCommand(common, "apply", file, "--expect", "0");
    runCommand(common, "apply", file, "--expect", "0");
    runCommand(common, "rollout", "proofing", "v3", "--by", "1h30m");
    runCommand(common, "rollout", "proofing", "v1", "--by", "10m");
    runCommand(common, "take-back", "proofing", "v3", "--reason", "errors on /drafts");
    runCommand(common, "take-back", "proofing", "v3");
    runCommand(common, "take-back", "proofing", "v1");
    runCommand(common, "take-back", "proofing", "v33");
    runCommand(common, "rollout", "proofing", "v3", "--by", "10m");
    platform.put(
        "rollout/proofing",
        """
        {"service":"proofing","from":"v1","to":"v3","state":"TAKEN_BACK","share":0,
         "reason":"error share 0.2 against 0.01","by":"2026-12-04T08:30:00Z",
         "updatedAt":"2026-12-04T07:05:00Z"}""");
    runCommand(common, "status", "--node", "127.0.0.1:7301", "--node", "127.0.0.1:1");
    runCommand(common, "history", "--limit", "1");
    polls.add(() -> platform.down = true);
    polls.add(() -> {});
    polls.add(
        () -> {
          platform.down = false;
          platform.put("rollout/proofing", "no JSON");
        });
    polls.add(() -> run("apply", file, "--operator", "bikash"));
    runCommand(common, "watch");
    platform.down = true;
    runCommand(common, "status");
    runCommand(common, "apply", file);
  }

  private void runCommand(String[] common, String... args) {
    String[] all = java.util.Arrays.copyOf(args, args.length + common.length);
    System.arraycopy(common, 0, all, args.length, common.length);
    run(all);
  }

  /** Guards against an unintended change of what operators read. */
  @Test
  void outputForPeopleIsStable() throws IOException {
    runSession("--operator", "asha");
    Approvals.verify(normalizedTranscript());
  }

  /** Guards against an unintended change of what scripts read. */
  @Test
  void outputForScriptsIsStable() throws IOException {
    runSession("--operator", "asha", "--json");
    Approvals.verify(normalizedTranscript());
  }

  /** Guards against a concurrent edit that is overwritten, or reported without its operator. */
  @ParameterizedTest
  @CsvSource({"0, true", "1, true", "0, false", "1, false"})
  void concurrentEditIsReported(int laterEdits, boolean beforeObject) {
    run("apply", file);
    Runnable concurrentEdits =
        () -> {
          run("apply", file, "--operator", "bikash");
          for (int i = 0; i < laterEdits; i++) {
            run("apply", file, "--operator", "chandra");
          }
        };
    if (beforeObject) {
      platform.beforeObjectWrite = concurrentEdits;
    } else {
      platform.beforeRowWrite = concurrentEdits;
    }
    assertEquals(ExitCode.CONFLICT, run("rollout", "proofing", "v2", "--by", "10m"));
    assertTrue(transcript.toString().contains("conflict: version 2 by operator bikash"));
    assertFalse(platform.value("config/head").contains("\"sequence\":" + (3 + laterEdits)));
  }

  /** Guards against an accepted edit that is reported as lost, also when others followed it. */
  @Test
  void lostResponseIsResolvedByReadingBack() {
    platform.lostResponses = 1;
    assertEquals(ExitCode.DONE, run("apply", file));
    platform.lostRequests = 1;
    assertEquals(ExitCode.DONE, run("apply", file));
    assertTrue(platform.value("config/head").contains("\"sequence\":2"));
    platform.lostResponses = 1;
    assertEquals(ExitCode.DONE, run("take-back", "proofing", "v2"));
    assertTrue(transcript.toString().contains("proofing version v2 is taken back"));
  }

  /** Guards against an unknown outcome that is reported as success or as no change. */
  @Test
  void outcomeThatCannotBeReadBackIsUnknown() {
    platform.downAfterWrite = true;
    platform.lostResponses = 1;
    assertEquals(ExitCode.UNAVAILABLE, run("apply", file));
    assertTrue(transcript.toString().contains("outcome unknown"));
    assertFalse(transcript.toString().contains("nothing was changed"));
  }

  /** Guards against a rollout that returns traffic to the version before a completed rollout. */
  @Test
  void rolloutAfterCompletedRolloutStartsFromItsVersion() {
    run("apply", file);
    run("rollout", "proofing", "v2", "--by", "10m");
    platform.put("rollout/proofing", "{\"state\":\"DONE\",\"to\":\"v2\"}");
    assertEquals(ExitCode.DONE, run("rollout", "proofing", "v3", "--by", "10m"));
    String edits = platform.objects.values().stream().map(String::new).toList().toString();
    assertTrue(edits.contains("\"current_version\" : \"v2\""), edits);
    assertTrue(transcript.toString().contains("makes v2 the current version"));
  }

  /** Guards against a second rollout that leaves traffic on the version of an unfinished one. */
  @ParameterizedTest
  @ValueSource(strings = {"MOVING", "LATE"})
  void rolloutDuringAnotherRolloutIsAConflict(String state) {
    run("apply", file);
    run("rollout", "proofing", "v2", "--by", "10m");
    platform.put("rollout/proofing", "{\"state\":\"" + state + "\",\"to\":\"v2\"}");
    assertEquals(ExitCode.CONFLICT, run("rollout", "proofing", "v3", "--by", "10m"));
    assertTrue(transcript.toString().contains("to v2: " + state), transcript.toString());
    assertEquals(ExitCode.DONE, run("rollout", "proofing", "v2", "--by", "20m"));
  }

  /** Guards against a status without the requested rollouts that have no row yet. */
  @Test
  void statusShowsRequestedRolloutsAndNodesThatDiffer() {
    run("apply", file);
    run("rollout", "proofing", "v2", "--by", "10m");
    NodeStatusReader nodes = a -> new ConfigVersion(1, a.endsWith(":2") ? 2 : 1, "d");
    run(a -> platform, nodes, "status", "--node", "127.0.0.1:1", "--node", "127.0.0.1:2");
    assertTrue(transcript.toString().contains("requested, not started: proofing from v1 to v2"));
    assertTrue(transcript.toString().contains("nodes differ: version 1 of epoch 1, version 2"));
  }

  /** Guards against a new rollout that starts late, and against rejecting an unchanged one. */
  @Test
  void newRolloutWithPastDeadlineIsRefused() throws IOException {
    String rollout = ",\"move\":{\"to_version\":\"v2\",\"by\":\"2026-12-04T07:00:01Z\"}}]}";
    Files.writeString(Path.of(file), TEXT.strip().replaceAll("}]}$", rollout));
    assertEquals(ExitCode.DONE, run("apply", file));
    time.advance(java.time.Duration.ofSeconds(2));
    assertEquals(ExitCode.DONE, run("apply", file));
    platform.rows.clear();
    assertEquals(ExitCode.INVALID_INPUT, run("apply", file));
    assertTrue(
        transcript.toString().contains("mesh.json:2:57: time-in-past"), normalizedTranscript());
  }

  /** Guards against a report of too many problems, and against omitting some without notice. */
  @Test
  void manyProblemsAreCounted() throws IOException {
    String services = "0,".repeat(100_000);
    Files.writeString(Path.of(file), "{\"services\":[" + services + "0]}");
    assertEquals(ExitCode.INVALID_INPUT, run("apply", file));
    assertEquals(100, transcript.toString().lines().filter(l -> l.contains("wrong-type")).count());
    assertTrue(transcript.toString().contains("99901 more problems are not shown"));
  }

  /** Guards against a watch that misses a table that was rebuilt with an older head. */
  @Test
  void watchShowsRebuiltTable() {
    run("apply", file, "--operator", "asha");
    run("apply", file, "--operator", "asha");
    polls.add(platform.rows::clear);
    polls.add(() -> run("apply", file, "--operator", "bikash"));
    run("watch");
    assertTrue(transcript.toString().contains("out| head: version 1 of epoch 1, operator bikash"));
  }

  /** Guards against a history that ends early without saying so. */
  @Test
  void brokenHistoryIsAnError() {
    run("apply", file);
    run("apply", file);
    String head = platform.value("config/head");
    platform.objects.keySet().removeIf(digest -> !head.contains(digest));
    assertEquals(ExitCode.UNAVAILABLE, run("history"));
    assertTrue(transcript.toString().contains("the history breaks at version 1"));
  }

  /** Guards against wrong arguments that are ignored or end with another exit code. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "deploy",
        "status extra",
        "apply",
        "status --colour",
        "status --platform nowhere",
        "status --platform 127.0.0.1:70000",
        "status --node 127.0.0.1",
        "status --by 10m",
        "status --operator",
        "apply mesh.json --expect seven",
        "history --limit 0",
        "rollout proofing v2",
        "rollout proofing v2 --by 10",
        "rollout proofing v2 --by 1s",
        "rollout proofing v2 --by 31d",
        "rollout proofing v2 --by -10m"
      })
  void wrongArgumentsAreRefused(String line) {
    String[] args = line.isEmpty() ? new String[0] : line.split(" ");
    assertEquals(ExitCode.INVALID_INPUT, run(args));
    assertTrue(transcript.toString().contains("err| acaciapond: "));
  }

  /** Guards against commands that work only with the fake platform. */
  @Test
  void commandsWorkOverHttp() {
    Vertx vertx = Vertx.vertx();
    try {
      PlatformServer server = new PlatformServer(vertx, "127.0.0.1", 0);
      server.start().await().indefinitely();
      PlatformAccess access = a -> new HttpPlatformClient(vertx, a.ip(), a.port(), 2_000);
      NodeStatusReader nodes = new HttpNodeStatusReader(vertx, 2_000);
      String address = "127.0.0.1:" + server.port();
      for (List<String> command :
          List.of(
              List.of("apply", file),
              List.of("rollout", "proofing", "v2", "--by", "10m"),
              List.of("take-back", "proofing", "v2"),
              List.of("history"),
              List.of("status", "--node", address))) {
        List<String> args = new java.util.ArrayList<>(command);
        args.addAll(List.of("--platform", address));
        assertEquals(ExitCode.DONE, run(access, nodes, args.toArray(String[]::new)));
      }
      assertTrue(transcript.toString().contains("taken back: proofing version v2"));
      assertTrue(transcript.toString().contains("unreachable, status 404"));
      server.stop().await().indefinitely();
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }
}
