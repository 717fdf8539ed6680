package org.acaciapond.mesh.account;

import org.jspecify.annotations.Nullable;

/**
 * Decision on whether a request may be served, by the key that it carries.
 *
 * @param granted whether it may be served
 * @param account account that holds the key; null if there is none
 */
public record Access(boolean granted, @Nullable ClientAccount account) {

  /** Access of a request that needs no key and carries none. */
  public static final Access WITHOUT_ACCOUNT = new Access(true, null);

  /** No access: the request needs a key and does not carry a single valid one. */
  public static final Access DENIED = new Access(false, null);

  /**
   * Decides on a request.
   *
   * @param accounts accounts of the desired state in force
   * @param key key that the request carries; null if it carries none, or not exactly one that is
   *     well formed
   * @param keyNeeded whether the request is of a route that needs a key
   */
  public static Access decide(AccountDirectory accounts, @Nullable String key, boolean keyNeeded) {
    if (!accounts.isConfigured()) {
      return WITHOUT_ACCOUNT;
    }
    ClientAccount account = key == null ? null : accounts.findByKey(key);
    if (account != null) {
      return new Access(true, account);
    }
    return keyNeeded ? DENIED : WITHOUT_ACCOUNT;
  }
}
