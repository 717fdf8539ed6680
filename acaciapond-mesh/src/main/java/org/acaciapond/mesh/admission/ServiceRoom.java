package org.acaciapond.mesh.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** What a node knows of the room for its requests at the targets of one service. */
public final class ServiceRoom {

  private final DoubleSupplier random;
  private final ReturnSchedule returns = new ReturnSchedule();
  private final Map<Integer, RefusalThrottle> throttles = new HashMap<>();

  /**
   * Creates the state of a service without requests.
   *
   * @param random uniform random numbers from [0, 1)
   */
  public ServiceRoom(DoubleSupplier random) {
    this.random = random;
  }

  /** Returns the times at which refused clients may come back. */
  public ReturnSchedule returns() {
    return returns;
  }

  /** Returns the throttle of the requests of a rank. */
  public RefusalThrottle throttle(int rank) {
    return throttles.computeIfAbsent(rank, key -> new RefusalThrottle(random));
  }
}
