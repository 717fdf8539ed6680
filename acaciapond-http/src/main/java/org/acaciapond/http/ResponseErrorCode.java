package org.acaciapond.http;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of responses that are rejected while they are decoded. */
public enum ResponseErrorCode implements ErrorCode {
  /** The connection failed before the end of a response that only its end completes. */
  RESPONSE_RESET,
  /** The status is not written with three digits. */
  STATUS_INVALID,
  /** The name of a field in the head is not a token. */
  FIELD_NAME_INVALID
}
