package org.acaciapond.node.membership;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of announcements of the local target. */
public enum TargetErrorCode implements ErrorCode {
  /** The announcement is malformed or has a value out of bounds. */
  TARGET_ANNOUNCEMENT_INVALID
}
