package org.acaciapond.sidecar.limit;

import java.util.Collection;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.sidecar.peer.LimitExchange;

/** Messages of peers to the limit that they are about. */
public final class LimitMessages implements LimitExchange {

  private final AccountLimits accounts;
  private final SharedRetries retries;

  /** Creates a dispatcher. */
  public LimitMessages(AccountLimits accounts, SharedRetries retries) {
    this.accounts = accounts;
    this.retries = retries;
  }

  @Override
  public boolean hasLimits() {
    return accounts.hasLimits();
  }

  @Override
  public void setMembers(Collection<String> connected, int nodes) {
    accounts.setMembers(connected, nodes);
  }

  @Override
  public void accept(String peer, LimitMessage message) {
    if (!retries.accept(peer, message)) {
      accounts.accept(peer, message);
    }
  }
}
