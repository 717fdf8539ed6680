package org.acaciapond.mesh.limit;

import java.util.List;

/**
 * Message of the shared limits between two nodes. The giver removes tokens from its stock before it
 * sends them; tokens in a lost message are lost. A reply carries the number of its request, and the
 * receiver accepts it once.
 */
public sealed interface LimitMessage {

  /**
   * Request for tokens of one limit from the node that collects them.
   *
   * @param number number of the request at the sender
   * @param limit name of the limit
   * @param waiting requests that wait for a token
   * @param spare tokens for requests that the sender expects soon
   * @param maxWaitMs longest time after which a refused client would come back
   */
  record Ask(long number, String limit, int waiting, int spare, int maxWaitMs)
      implements LimitMessage {}

  /**
   * Reply to an ask.
   *
   * @param portions tokens, fewer than asked for if there are not enough
   * @param retryAfterMs time after which the limit has room for a request that got no token
   * @param spacingMs time between the return of two further refused requests of the receiver
   */
  record Grant(long number, String limit, List<Portion> portions, int retryAfterMs, int spacingMs)
      implements LimitMessage {

    /** Makes an immutable copy of the list. */
    public Grant {
      portions = List.copyOf(portions);
    }
  }

  /**
   * Request of a collecting node for the tokens that the receiver does not need.
   *
   * @param number number of the request at the sender
   * @param limits names of the limits
   * @param knownNodes number of nodes that the sender knows
   */
  record Pull(long number, List<String> limits, int knownNodes) implements LimitMessage {

    /** Makes an immutable copy of the list. */
    public Pull {
      limits = List.copyOf(limits);
    }
  }

  /**
   * Reply to a pull.
   *
   * @param surpluses tokens of the limits that the sender has some of
   */
  record Surpluses(long number, List<Surplus> surpluses) implements LimitMessage {

    /** Makes an immutable copy of the list. */
    public Surpluses {
      surpluses = List.copyOf(surpluses);
    }
  }

  /** Tokens of one limit. */
  record Surplus(String limit, List<Portion> portions) {

    /** Makes an immutable copy of the list. */
    public Surplus {
      portions = List.copyOf(portions);
    }
  }
}
