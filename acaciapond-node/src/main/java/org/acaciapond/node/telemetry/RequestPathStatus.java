package org.acaciapond.node.telemetry;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import org.acaciapond.config.model.ServiceConfig;
import org.acaciapond.config.snapshot.SnapshotHolder;
import org.acaciapond.node.proxy.InboundProxy;
import org.acaciapond.node.proxy.OutboundProxy;
import org.acaciapond.routing.admission.AdmissionController;
import org.acaciapond.routing.target.TargetDirectory;
import org.acaciapond.routing.target.TargetEndpoint;

/** Status of the request path: known targets of each reachable service, and admission control. */
public final class RequestPathStatus {

  private final SnapshotHolder holder;
  private final TargetDirectory directory;
  private final OutboundProxy outbound;
  private final InboundProxy inbound;

  /** Creates a status. */
  public RequestPathStatus(
      SnapshotHolder holder,
      TargetDirectory directory,
      OutboundProxy outbound,
      InboundProxy inbound) {
    this.holder = holder;
    this.directory = directory;
    this.outbound = outbound;
    this.inbound = inbound;
  }

  /** Adds the fields of the request path to a status document. */
  public void addTo(JsonObject status) {
    JsonObject services = new JsonObject();
    new TreeMap<>(holder.current().services())
        .forEach((name, service) -> services.put(name, serviceStatus(service)));
    status.put("services", services).put("admission", admissionStatus());
  }

  private JsonObject serviceStatus(ServiceConfig service) {
    Map<String, Integer> byVersion = new TreeMap<>();
    int leaving = 0;
    for (TargetEndpoint target : directory.targets(service.name())) {
      byVersion.merge(target.version(), 1, Integer::sum);
      leaving += target.leaving() ? 1 : 0;
    }
    JsonObject targets = new JsonObject();
    byVersion.forEach(targets::put);
    return new JsonObject()
        .put("current_version", service.currentVersion())
        .put("targets", targets)
        .put("leaving", leaving)
        .put(
            "ejected",
            new JsonArray(
                outbound.selector().ejectedHostIds(service.name()).stream().sorted().toList()));
  }

  private JsonObject admissionStatus() {
    AdmissionController admission = inbound.admission();
    return new JsonObject()
        .put("limit", admission.limit())
        .put("in_flight", admission.inFlight())
        .put("queued", admission.queued())
        .put("admitted", admission.admittedCount())
        .put("refused_queue_full", admission.refusedFullCount())
        .put("refused_deadline", admission.refusedDeadlineCount());
  }
}
