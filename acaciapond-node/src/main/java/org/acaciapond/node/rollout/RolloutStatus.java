package org.acaciapond.node.rollout;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.acaciapond.distribution.election.DomainRoles;
import org.acaciapond.membership.Member;
import org.acaciapond.membership.MembershipView;
import org.acaciapond.rollout.state.RolloutRow;

/** Status of rollouts as this node sees them, and of its own roles. */
public final class RolloutStatus {

  private final MembershipView members;
  private final RolloutRegistry book;
  private final BooleanSupplier poller;
  private final BooleanSupplier judge;

  /**
   * Creates a status.
   *
   * @param members members of all failure domains
   * @param book grants and facts that this node knows
   * @param poller returns whether this node is the poller of its failure domain
   * @param judge returns whether this node is a judge of its own service
   */
  public RolloutStatus(
      MembershipView members, RolloutRegistry book, BooleanSupplier poller, BooleanSupplier judge) {
    this.members = members;
    this.book = book;
    this.poller = poller;
    this.judge = judge;
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
    if (judge.getAsBoolean()) {
      roles.add("judge");
    }
    return roles;
  }

  private JsonArray rollouts() {
    JsonArray rollouts = new JsonArray();
    new TreeMap<>(book.rows()).values().forEach(row -> rollouts.add(rollout(row)));
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
    new TreeMap<>(book.takenBack())
        .forEach(
            (service, taken) ->
                versions.put(service, new JsonArray(taken.stream().sorted().toList())));
    return versions;
  }
}
