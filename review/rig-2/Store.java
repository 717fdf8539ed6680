import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: rows-get, rows-tx and rows-feed as PROTOCOL.md has them. */
final class Store {
  private record Row(String table, String key, String value, long ver) {}

  private final HttpServer server;
  private final long startNanos = System.nanoTime();
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private long version = 1;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 64);
    server.setExecutor(Executors.newCachedThreadPool(Rig.daemons()));
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a row as the operator does; the return is the confirmation. */
  synchronized long put(String table, String key, String text) {
    version++;
    store(new Row(table, key, encode(text), version));
    notifyAll();
    return version;
  }

  /** Returns the text of a row, or an empty one. */
  synchronized String text(String table, String key) {
    Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
    return row == null
        ? ""
        : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
  }

  synchronized int rows(String table) {
    return tables.getOrDefault(table, new TreeMap<>()).size();
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private void store(Row row) {
    tables.computeIfAbsent(row.table, name -> new TreeMap<>()).put(row.key, row);
    history.add(row);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = Rig.query(exchange.getRequestURI().getRawQuery());
    byte[] body = exchange.getRequestBody().readAllBytes();
    int status = 200;
    String answer;
    if (path.equals("/v1/rows-get")) {
      answer = get(query.getOrDefault("table", ""), query.getOrDefault("from", ""));
    } else if (path.equals("/v1/rows-feed")) {
      answer =
          feed(
              query.getOrDefault("table", ""),
              Long.parseLong(query.getOrDefault("after", "0")),
              Long.parseLong(query.getOrDefault("wait_ms", "0")));
      status = answer.isEmpty() ? 410 : 200;
    } else if (path.equals("/v1/rows-tx")) {
      answer = transact(new String(body, StandardCharsets.UTF_8));
      status = answer.contains("\"rows\"") ? 412 : 200;
    } else {
      status = 404;
      answer = "{}";
    }
    Rig.sleep(4);
    byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "1");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private String end() {
    long nowMs = (System.nanoTime() - startNanos) / 1_000_000;
    return ",\"ver\":" + version + ",\"now_ms\":" + nowMs + "}";
  }

  private static String json(List<Row> rows) {
    StringBuilder text = new StringBuilder("[");
    for (Row row : rows) {
      text.append(text.length() > 1 ? "," : "")
          .append("{\"table\":\"" + row.table + "\",\"part\":\"\",\"key\":\"" + row.key)
          .append("\",\"value\":\"" + row.value + "\",\"ver\":" + row.ver + "}");
    }
    return text.append("]").toString();
  }

  private synchronized String get(String table, String from) {
    List<Row> rows = new ArrayList<>();
    tables.getOrDefault(table, new TreeMap<>()).tailMap(from).values().forEach(rows::add);
    return "{\"rows\":" + json(rows) + ",\"has_more\":false" + end();
  }

  private synchronized String feed(String table, long after, long waitMs) {
    long untilNanos = System.nanoTime() + Math.min(30_000, waitMs) * 1_000_000;
    if (after > version) {
      return "";
    }
    while (true) {
      List<Row> rows = new ArrayList<>();
      for (Row row : history) {
        if (row.ver > after && row.table.equals(table)) {
          rows.add(row);
        }
      }
      long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
      if (!rows.isEmpty() || leftMs <= 0) {
        return "{\"rows\":" + json(rows) + end();
      }
      try {
        wait(leftMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return "{\"rows\":[]" + end();
      }
    }
  }

  // The system's processes send one condition and one row, each with table, part and key.
  private synchronized String transact(String body) {
    int sets = body.indexOf("\"set_keys\"");
    String condition = body.substring(body.indexOf("\"precondition\""), sets);
    String set = body.substring(sets);
    String table = Rig.field(set, "table");
    String key = Rig.field(set, "key");
    long expected = Long.parseLong(Rig.number(condition, "ver"));
    Row current = tables.getOrDefault(table, new TreeMap<>()).get(key);
    if (table.equals("op") || table.equals("servers")) {
      throw new IllegalStateException("a process of the system wrote to " + table);
    }
    if ((current == null ? 0 : current.ver) != expected) {
      return "{\"rows\":" + json(current == null ? List.of() : List.of(current)) + end();
    }
    version++;
    store(new Row(table, key, Rig.field(set, "value"), version));
    notifyAll();
    return "{\"ok\":true" + end();
  }
}
