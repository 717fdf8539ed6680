package org.acaciapond.node.proxy;

import io.vertx.core.http.HttpClientResponse;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.acaciapond.node.membership.LocalTarget;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Check that a response of the local target belongs to the request that was sent; confined to one
 * event loop.
 *
 * <p>A target may send a response a second time, when the connection is already used for the next
 * request. Each request therefore has an exchange id, and a connection is reused only while each
 * response of the target has returned the id of its request.
 */
final class TargetResponses {

  private static final Logger LOG = LogManager.getLogger(TargetResponses.class);

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_FINAL_STATUS = 599;

  /** Status line within another line, left by a response that was cut within its head. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01]( [0-9]{3}|$)");

  private LocalTarget.@Nullable Announcement target;
  private boolean idReturned;
  private boolean idOmitted;
  private long lastExchangeId;

  /** Returns the id of the next exchange. */
  String nextExchangeId() {
    lastExchangeId++;
    return Long.toHexString(lastExchangeId);
  }

  /** Returns whether the connection of a request to a target may be used again. */
  boolean mayReuseConnection(LocalTarget.Announcement announced) {
    useTarget(announced);
    return idReturned && !idOmitted;
  }

  /**
   * Returns whether a response is valid and belongs to its request.
   *
   * @param exchangeId id that the request had
   * @param reusable whether the connection of the request may be used again
   */
  boolean accept(
      LocalTarget.Announcement announced,
      String exchangeId,
      boolean reusable,
      HttpClientResponse response) {
    useTarget(announced);
    if (!isFinalStatus(response.statusCode())) {
      return false;
    }
    List<String> ids = response.headers().getAll(MeshHeaders.EXCHANGE_ID);
    if (ids.isEmpty()) {
      onIdOmitted();
      return !reusable && !isJoined(response);
    }
    idReturned = true;
    return ids.size() == 1 && ids.get(0).equals(exchangeId) && !isJoined(response);
  }

  private void useTarget(LocalTarget.Announcement announced) {
    if (!announced.equals(target)) {
      target = announced;
      idReturned = false;
      idOmitted = false;
    }
  }

  private void onIdOmitted() {
    if (!idOmitted) {
      idOmitted = true;
      LOG.info(
          "The target does not return {}; each call to it has a connection of its own",
          MeshHeaders.EXCHANGE_ID);
    }
  }

  /** Returns whether a response with this status can be the response to a request. */
  static boolean isFinalStatus(int status) {
    return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
  }

  private static boolean isJoined(HttpClientResponse response) {
    if (STATUS_LINE.matcher(response.statusMessage()).find()) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (STATUS_LINE.matcher(header.getKey()).find()
          || STATUS_LINE.matcher(header.getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
