import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadFactory;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, processes, and plain HTTP/1.1 over sockets. */
final class Rig {
  private static PrintWriter record;
  private static final long START_NANOS = System.nanoTime();
  static final List<NodeProcess> NODES = new ArrayList<>();

  private Rig() {}

  /** HTTP message with its start line, its headers and its whole body. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }
  }

  /** A case: returns whether the rule held. */
  interface Case {
    boolean held(Path folder, boolean trouble) throws Exception;
  }

  /** Observer of runs. */
  interface Runs {
    void ran(String attempt, Upstream upstream, int status);
  }

  static volatile Runs runs = (attempt, upstream, status) -> {};

  static void ran(String attempt, Upstream upstream, int status) {
    runs.ran(attempt, upstream, status);
  }

  /** Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run. */
  static void main(Path caseFolder, Case body) throws Exception {
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
    Path temporary = Files.createTempDirectory("review-case");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> NODES.forEach(NodeProcess::end)));
    Thread watch =
        new Thread(
            () -> {
              sleep(115_000);
              note("the case takes too long");
              finish(2, temporary);
            });
    watch.setDaemon(true);
    watch.start();
    note("TROUBLE=" + (trouble ? 1 : 0));
    int code;
    try {
      boolean held = body.held(temporary, trouble);
      note(held ? "the rule held" : "THE RULE WAS BROKEN");
      code = held ? 0 : 1;
    } catch (Exception e) {
      note("the case could not run: " + e);
      e.printStackTrace();
      code = 2;
    }
    finish(code, temporary);
  }

  private static synchronized void finish(int code, Path temporary) {
    NODES.forEach(NodeProcess::end);
    record.flush();
    String kept = System.getenv("KEEP_LOGS");
    try (var files = Files.list(temporary)) {
      for (Path each : files.toList()) {
        if (kept != null) {
          Files.copy(
              each,
              Path.of(kept).resolve(each.getFileName()),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(each);
      }
      Files.delete(temporary);
    } catch (IOException e) {
      System.out.println("temporary folder remains: " + e);
    }
    Runtime.getRuntime().halt(code);
  }

  /** Writes a line to the record and to the standard output. */
  static void note(String text) {
    record("note", text);
    System.out.println(text);
  }

  /** Writes a line to the record. */
  static synchronized void record(String kind, String text) {
    double seconds = (System.nanoTime() - START_NANOS) / 1e9;
    record.printf(Locale.ROOT, "%9.3f %-6s %s%n", seconds, kind, text);
  }

  static NodeProcess node(String name, String zone, String service, Store store, Path folder)
      throws IOException {
    NodeProcess node =
        new NodeProcess(name, zone, service, NODES.size(), store.port(), folder);
    NODES.add(node);
    return node;
  }

  static void await(String what, int maxMs, BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - startNanos > maxMs * 1_000_000L) {
        throw new IllegalStateException("not in " + maxMs + " ms: " + what);
      }
      sleep(20);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static ThreadFactory daemons() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  static Thread thread(Runnable task) {
    Thread thread = daemons().newThread(task);
    thread.start();
    return thread;
  }

  static int[] freePorts(String ip, int count) throws IOException {
    ServerSocket[] sockets = new ServerSocket[count];
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(ip));
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket each : sockets) {
      each.close();
    }
    return ports;
  }

  static int status(String url) {
    try {
      HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      int status = connection.getResponseCode();
      connection.disconnect();
      return status;
    } catch (IOException e) {
      return 0;
    }
  }

  static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    if (text != null) {
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  static String field(String json, String name) {
    Matcher found = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
    return found.find() ? found.group(1) : "";
  }

  static String number(String json, String name) {
    Matcher found = Pattern.compile("\"" + name + "\":([0-9]+)").matcher(json);
    return found.find() ? found.group(1) : "0";
  }

  /** Reads a message with a length or without a body; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    while (true) {
      String header = line(in);
      if (header == null) {
        throw new EOFException("head is incomplete");
      }
      if (header.isEmpty()) {
        break;
      }
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body ends after " + body.length + " of " + length + " bytes");
    }
    return new Message(start, headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("line is incomplete");
      }
      if (next == '\n') {
        return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
      }
      bytes.write(next);
    }
  }

  static void write(OutputStream out, String start, List<String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(start).append("\r\n");
    headers.forEach(each -> head.append(each).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
    System.arraycopy(body, 0, all, bytes.length, body.length);
    out.write(all);
    out.flush();
  }
}
