package org.acaciapond.membership;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the membership layer. */
public enum MembershipErrorCode implements ErrorCode {
  /** A replicated value or its key is longer than the limit. */
  GOSSIP_ENTRY_TOO_LONG,
  /** The store of replicated values is full. */
  GOSSIP_STORE_FULL
}
