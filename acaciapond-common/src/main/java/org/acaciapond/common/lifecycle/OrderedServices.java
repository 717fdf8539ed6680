package org.acaciapond.common.lifecycle;

import io.smallrye.mutiny.Uni;
import java.util.List;

/** Group of services that are started in order and stopped in reverse order. */
public final class OrderedServices implements ManagedService {

  private final List<ManagedService> services;

  /** Creates a group. */
  public OrderedServices(List<ManagedService> services) {
    this.services = List.copyOf(services);
  }

  @Override
  public Uni<Void> start() {
    Uni<Void> chain = Uni.createFrom().voidItem();
    for (ManagedService service : services) {
      chain = chain.chain(service::start);
    }
    return chain;
  }

  @Override
  public Uni<Void> stop() {
    Uni<Void> chain = Uni.createFrom().voidItem();
    for (int i = services.size() - 1; i >= 0; i--) {
      chain = chain.chain(services.get(i)::stop);
    }
    return chain;
  }
}
