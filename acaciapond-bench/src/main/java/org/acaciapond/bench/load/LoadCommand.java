package org.acaciapond.bench.load;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.acaciapond.common.time.TimeSource;

/** Command {@code load}, which calls a service at a constant rate and prints counts each second. */
public final class LoadCommand {

  private static final int STATUS_OK = 200;
  private static final int POOL_SIZE = 64;
  private static final int TIMEOUT_MS = 5_000;
  private static final long REPORT_INTERVAL_MS = 1_000;
  private static final String VERSION_HEADER = "x-acaciapond-version";

  private final HttpClient client;
  private final List<Integer> ports;
  private final String service;
  private final String path;
  private final TimeSource timeSource;
  private final LoadCounts counts = new LoadCounts();
  private final AtomicInteger nextIndex = new AtomicInteger();

  private LoadCommand(
      Vertx vertx, TimeSource timeSource, List<Integer> ports, String service, String path) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(POOL_SIZE));
    this.timeSource = timeSource;
    this.ports = List.copyOf(ports);
    this.service = service;
    this.path = path;
  }

  /** Sends calls until the process is terminated; the last line printed has the final counts. */
  public static void run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> ports =
        parser
            .accepts("ports", "loopback ports, used in round-robin order")
            .withRequiredArg()
            .ofType(Integer.class)
            .withValuesSeparatedBy(',')
            .required();
    OptionSpec<String> service =
        parser.accepts("service", "service, sent in the Host header").withRequiredArg().required();
    OptionSpec<String> path = parser.accepts("path").withRequiredArg().defaultsTo("/");
    OptionSpec<Integer> rate =
        parser
            .accepts("rate", "calls per second")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(200);
    OptionSet options = parser.parse(args);
    Vertx vertx = Vertx.vertx();
    LoadCommand loadCommand =
        new LoadCommand(
            vertx,
            TimeSource.system(),
            options.valuesOf(ports),
            options.valueOf(service),
            options.valueOf(path));
    vertx.setPeriodic(Math.max(1, 1_000 / options.valueOf(rate)), id -> loadCommand.sendCall());
    vertx.setPeriodic(REPORT_INTERVAL_MS, id -> loadCommand.printCounts());
    Runtime.getRuntime().addShutdownHook(new Thread(loadCommand::printCounts, "report"));
  }

  private void printCounts() {
    System.out.println(counts.toLine());
  }

  private void sendCall() {
    int port = ports.get(Math.floorMod(nextIndex.getAndIncrement(), ports.size()));
    client
        .request(
            new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(port, "127.0.0.1"))
                .setHost(service)
                .setPort(port)
                .setMethod(HttpMethod.GET)
                .setTimeout(TIMEOUT_MS)
                .setURI(path))
        .compose(request -> request.send())
        .compose(
            response ->
                response
                    .body()
                    .map(
                        body -> {
                          String version = response.getHeader(VERSION_HEADER);
                          counts.count(version, response.statusCode() == STATUS_OK, nowMs());
                          return body;
                        }))
        .onFailure(error -> counts.count(null, false, nowMs()));
  }

  private long nowMs() {
    return timeSource.now().toEpochMilli();
  }
}
