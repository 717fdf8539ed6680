package org.acaciapond.mesh.account;

import java.util.List;
import java.util.OptionalInt;

/**
 * Client account in the operator's configuration.
 *
 * @param name name, which targets receive with each request
 * @param keys digests of the keys that identify the account
 * @param priority rank of its requests, which precedes that of the route; empty if it has none
 * @param limit limit of its requests
 */
public record ClientAccount(
    String name, List<KeyDigest> keys, OptionalInt priority, RateLimit limit) {

  /** Makes an immutable copy of the list. */
  public ClientAccount {
    keys = List.copyOf(keys);
  }
}
