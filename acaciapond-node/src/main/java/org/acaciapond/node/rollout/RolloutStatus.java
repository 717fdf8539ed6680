package org.acaciapond.node.rollout;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.rollout.state.RolloutRow;

/** Status of the rollouts that this node knows and of its roles. */
public final class RolloutStatus {

  private final MembershipView members;
  private final RolloutRegistry registry;
  private final BooleanSupplier poller;
  private final BooleanSupplier analyzer;

  /**
   * Creates a status.
   *
   * @param members members of all failure domains
   * @param registry grants and taken-back versions that this node knows
   * @param poller returns whether this node is the poller of its failure domain
   * @param analyzer returns whether this node is an analyzer of its own service
   */
  public RolloutStatus(
      MembershipView members,
      RolloutRegistry registry,
      BooleanSupplier poller,
      BooleanSupplier analyzer) {
    this.members = members;
    this.registry = registry;
    this.poller = poller;
    this.analyzer = analyzer;
  }

  /** Adds the roles, rollouts and taken-back versions to a status document. */
  public void addTo(JsonObject status) {
    status.put("roles", roles()).put("rollouts", rollouts()).put("taken_back", takenBack());
  }

  private JsonArray roles() {
    JsonArray roles = new JsonArray();
    if (poller.getAsBoolean()) {
      roles.add("poller");
    }
    Member self = members.self();
    DomainRoles domain =
        DomainRoles.of(self.failureDomain(), members.domainMembers(self.failureDomain()));
    roles.add(domain.relays().contains(self.hostId()) ? "relay" : "leaf");
    if (analyzer.getAsBoolean()) {
      roles.add("judge");
    }
    return roles;
  }

  private JsonArray rollouts() {
    JsonArray rollouts = new JsonArray();
    new TreeMap<>(registry.rows()).values().forEach(row -> rollouts.add(rollout(row)));
    return rollouts;
  }

  private static JsonObject rollout(RolloutRow row) {
    return new JsonObject()
        .put("service", row.service())
        .put("from", row.from())
        .put("to", row.to())
        .put("state", row.state().name())
        .put("share", row.share())
        .put("reason", row.reason());
  }

  private JsonObject takenBack() {
    JsonObject versions = new JsonObject();
    new TreeMap<>(registry.takenBack())
        .forEach(
            (service, taken) ->
                versions.put(service, new JsonArray(taken.stream().sorted().toList())));
    return versions;
  }
}
