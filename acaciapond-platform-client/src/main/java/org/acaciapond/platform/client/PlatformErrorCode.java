package org.acaciapond.platform.client;

import org.acaciapond.common.error.ErrorCode;

/** Error codes of the platform client. */
public enum PlatformErrorCode implements ErrorCode {
  /** The platform gave no usable response in time. */
  PLATFORM_UNAVAILABLE,
  /** The platform gave a response that violates its protocol. */
  PLATFORM_PROTOCOL
}
