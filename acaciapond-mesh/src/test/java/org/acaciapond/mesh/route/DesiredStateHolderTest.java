package org.acaciapond.mesh.route;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.acaciapond.mesh.account.AccountDirectory;
import org.junit.jupiter.api.Test;

/** Guards against rates of cold targets that are taken for unlimited while they are not known. */
class DesiredStateHolderTest {

  @Test
  void rateOfColdTargetsIsNegativeUntilItIsKnown() {
    DesiredStateHolder holder = new DesiredStateHolder();
    assertEquals(-1, holder.coldRequestsPerS("orders"));
    Map<String, ServiceSpec> services =
        Map.of(
            "orders", new ServiceSpec("orders", "/health", 100, 12),
            "wrong", new ServiceSpec("wrong", "/health", 100, -3));
    holder.updateIfNewer(
        new DesiredState(
            1,
            List.of(),
            services,
            ClientLimits.DEFAULT,
            AccountDirectory.NOT_CONFIGURED,
            List.of()));
    assertEquals(12, holder.coldRequestsPerS("orders"));
    assertEquals(0, holder.coldRequestsPerS("wrong"));
    assertEquals(0, holder.coldRequestsPerS("other"));
  }
}
