package org.acaciapond.mesh.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.acaciapond.mesh.account.AccountDirectory;
import org.junit.jupiter.api.Test;

class RouteTableTest {

  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        500,
        200,
        1,
        List.of(new WeightedService("a", 1)),
        2,
        false);
  }

  private static DesiredState state(long version, Route... routes) {
    return new DesiredState(
        version,
        List.of(routes),
        Map.of("a", new ServiceSpec("a", "/health", 10, 0)),
        ClientLimits.DEFAULT,
        AccountDirectory.NOT_CONFIGURED,
        List.of());
  }

  private static String match(RouteTable table, String host, String uri) {
    Route found = table.match(host, uri);
    return found == null ? "" : found.name();
  }

  @Test
  void requestGoesToLongestPrefixOfItsHost() {
    RouteTable table =
        new RouteTable(
            state(
                1,
                route("short", "x.example", "/a/"),
                route("long", "x.example", "/a/b/"),
                route("other", "y.example", "/a/b/c/")));
    assertEquals("long", match(table, "x.example", "/a/b/c/d?q=/a/"));
    assertEquals("short", match(table, "X.Example:8080", "/a/bc"));
    assertEquals("", match(table, "x.example", "/a"));
    assertEquals("", match(table, "z.example", "/a/b/"));
  }

  @Test
  void slashInQueryDoesNotExtendPath() {
    RouteTable table = new RouteTable(state(1, route("r", "x", "/a/b/")));
    assertNull(table.match("x", "/a?next=/a/b/"));
  }

  @Test
  void olderVersionNeverReplacesNewerOne() {
    DesiredStateHolder holder = new DesiredStateHolder();
    assertTrue(holder.updateIfNewer(state(7)));
    assertFalse(holder.updateIfNewer(state(5)));
    assertFalse(holder.updateIfNewer(state(7)));
    assertEquals(7, holder.version());
    assertTrue(holder.updateIfNewer(state(12)));
    assertEquals(12, holder.version());
  }

  @Test
  void servicesGetTrafficByWeight() {
    Route split =
        new Route(
            "r",
            "x",
            "/",
            RequestKind.IDEMPOTENT,
            500,
            200,
            1,
            List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
            2,
            false);
    int toA = 0;
    for (int i = 0; i < 1000; i++) {
      toA += split.selectService(i / 1000.0).equals("a") ? 1 : 0;
    }
    assertEquals(900, toA);
  }
}
