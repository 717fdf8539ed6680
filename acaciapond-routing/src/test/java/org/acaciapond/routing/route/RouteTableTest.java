package org.acaciapond.routing.route;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.acaciapond.config.model.LimitsConfig;
import org.acaciapond.config.model.RouteConfig;
import org.acaciapond.config.model.ServiceConfig;
import org.junit.jupiter.api.Test;

class RouteTableTest {

  private final RouteTable table =
      new RouteTable(
          new ServiceConfig(
              "catalogue",
              List.of(),
              false,
              List.of(route("/"), route("/orders"), route("/orders/urgent")),
              LimitsConfig.DEFAULT,
              List.of(),
              "v1",
              null));

  private static RouteConfig route(String path) {
    return new RouteConfig(path, true, 1_000, 1, null);
  }

  @Test
  void longestPrefixWinsAndQueryIsIgnored() {
    assertEquals("/orders/urgent", table.match("/orders/urgent/7?x=/a").path());
    assertEquals("/orders", table.match("/orders?next=/orders/urgent").path());
  }

  @Test
  void prefixDoesNotMatchLongerSegment() {
    assertEquals("/", table.match("/ordersheet").path());
  }
}
