package org.acaciapond.sidecar.stutter;

import java.util.EnumSet;
import java.util.Set;

/** Fault of the response of a target to one request. */
enum ResponseFault {
  /** An additional response some milliseconds after the response. */
  EXTRA_LATE,
  /** An additional response in one segment with the response. */
  EXTRA_WITH_RESPONSE,
  /** An additional response in one segment with the response to the next request. */
  EXTRA_WITH_NEXT,
  /** An additional response in several segments. */
  EXTRA_SPLIT,
  /** The first bytes of an additional response, in one segment with the response or late. */
  EXTRA_CUT,
  /** The first bytes of an additional response, in one segment with the next response. */
  EXTRA_CUT_WITH_NEXT,
  /** An additional response that another thread writes between lines of the next response head. */
  EXTRA_INTERLEAVED,
  /** An additional response that another thread writes before the body of the next response. */
  EXTRA_IN_BODY,
  /** An additional response before the response. */
  EXTRA_FIRST,
  /** Bytes that are not a response, after the response. */
  TRAILING_BYTES,
  /** Bytes that are not a response, then the end of the connection. */
  INVALID_CLOSED,
  /** Bytes that are not a response, on a connection that stays open. */
  INVALID_OPEN,
  /** Bytes that are not a response, then a response on the open connection. */
  INVALID_THEN_EXTRA,
  /** No response, and the connection is closed or reset. */
  LOST,
  /** No response, but the additional response. */
  LOST_THEN_EXTRA,
  /** A body that ends early with the connection. */
  BODY_CUT,
  /** A chunked body followed by bytes that are not a chunk. */
  CHUNK_INVALID,
  /** A response without a length that ends with the connection. */
  UNFRAMED,
  /** A response without a length whose connection is reset. */
  UNFRAMED_RESET;

  /**
   * Returns the faults that a proxy can detect. Foreign bytes within a body of the announced length
   * and an additional response before or in place of the response cannot be told from the target's
   * response without the key of its signature.
   */
  static Set<ResponseFault> detectable() {
    return EnumSet.complementOf(EnumSet.of(EXTRA_IN_BODY, EXTRA_FIRST, LOST_THEN_EXTRA));
  }
}
