package org.acaciapond.mesh.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Immutable index of the client accounts of one desired state by key and by name. A key that two
 * accounts hold identifies neither of them.
 */
public final class AccountDirectory {

  /** Directory of a desired state without accounts, whose requests need no key. */
  public static final AccountDirectory NOT_CONFIGURED = new AccountDirectory(false, List.of());

  private final boolean configured;
  private final Map<String, ClientAccount> byName = new HashMap<>();
  private final Map<KeyDigest, ClientAccount> byKey = new HashMap<>();

  private AccountDirectory(boolean configured, List<ClientAccount> accounts) {
    this.configured = configured;
    Set<KeyDigest> ambiguous = new HashSet<>();
    for (ClientAccount account : accounts) {
      byName.put(account.name(), account);
      for (KeyDigest key : account.keys()) {
        ClientAccount other = byKey.put(key, account);
        if (other != null && !other.name().equals(account.name())) {
          ambiguous.add(key);
        }
      }
    }
    byKey.keySet().removeAll(ambiguous);
  }

  /** Returns a directory; all requests of routes that are not open need one of its keys. */
  public static AccountDirectory of(List<ClientAccount> accounts) {
    return new AccountDirectory(true, accounts);
  }

  /** Returns whether requests need a key. */
  public boolean isConfigured() {
    return configured;
  }

  /** Returns the account that holds a key, or null. */
  public @Nullable ClientAccount findByKey(String key) {
    return byKey.get(KeyDigest.of(key));
  }

  /** Returns the account with a name, or null. */
  public @Nullable ClientAccount findByName(String name) {
    return byName.get(name);
  }

  /** Returns all accounts. */
  public Collection<ClientAccount> accounts() {
    return byName.values();
  }
}
