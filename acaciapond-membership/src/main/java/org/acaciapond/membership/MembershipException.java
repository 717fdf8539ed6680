package org.acaciapond.membership;

import org.acaciapond.common.error.AcaciapondException;

/** Error of the membership layer. */
public final class MembershipException extends AcaciapondException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public MembershipException(MembershipErrorCode code, String message) {
    super(code, message, null);
  }
}
