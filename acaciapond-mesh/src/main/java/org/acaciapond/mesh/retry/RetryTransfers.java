package org.acaciapond.mesh.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.acaciapond.mesh.limit.LimitMessage;
import org.acaciapond.mesh.limit.Portion;
import org.acaciapond.mesh.limit.SharedLimiter;
import org.jspecify.annotations.Nullable;

/**
 * Transfers of unused retries between nodes. A node whose part of the budget is nearly used asks
 * one other node, which counts what it gives before it sends it. Received retries expire after a
 * tenth of the window, counted from the time of the question.
 */
public final class RetryTransfers {

  private static final String PREFIX = "retry\n";
  private static final long RETRY = 1_000_000L;
  // A node asks when fewer retries are left, so that the next one need not wait for the reply.
  private static final int LOW_RETRIES = 2;
  // The interval doubles while nothing is received, because then the whole budget is in use.
  private static final long MIN_ASK_INTERVAL_NANOS = 50_000_000L;
  private static final long MAX_ASK_INTERVAL_NANOS = 2_000_000_000L;

  private final RetryBudget budget;
  private final SharedLimiter.Sender sender;
  private final Supplier<@Nullable String> randomNode;
  private final Map<String, Question> questions = new HashMap<>();
  private long nextNumber;

  /** Latest question about one service. */
  private record Question(long number, long sentNanos, long intervalNanos) {}

  /**
   * Creates transfers between this node and others.
   *
   * @param randomNode returns a connected node that shares limits, or null if there is none
   * @param firstNumber number of the first question; differs between the processes of a node
   */
  public RetryTransfers(
      RetryBudget budget,
      SharedLimiter.Sender sender,
      Supplier<@Nullable String> randomNode,
      long firstNumber) {
    this.budget = budget;
    this.sender = sender;
    this.randomNode = randomNode;
    this.nextNumber = firstNumber;
  }

  /** Counts a retry and returns true if the budget allows it; asks another node if few are left. */
  public boolean tryRetry(String service, int nodes, long nowNanos) {
    boolean allowed = budget.tryRetry(service, nodes, nowNanos);
    if (budget.available(service, nodes, nowNanos) < LOW_RETRIES) {
      ask(service, nodes, nowNanos);
    }
    return allowed;
  }

  private void ask(String service, int nodes, long nowNanos) {
    Question previous = questions.get(service);
    if (previous != null && nowNanos - previous.sentNanos() < previous.intervalNanos()) {
      return;
    }
    long intervalNanos =
        previous == null
            ? MIN_ASK_INTERVAL_NANOS
            : Math.min(2 * previous.intervalNanos(), MAX_ASK_INTERVAL_NANOS);
    String node = randomNode.get();
    if (node != null) {
      long number = nextNumber++;
      questions.put(service, new Question(number, nowNanos, intervalNanos));
      sender.send(node, new LimitMessage.Pull(number, List.of(PREFIX + service), nodes));
    }
  }

  /**
   * Handles a message of another node.
   *
   * @return whether it was about retries
   */
  public boolean receive(String node, LimitMessage message, int nodes, long nowNanos) {
    if (message instanceof LimitMessage.Pull pull
        && pull.limits().stream().anyMatch(name -> name.startsWith(PREFIX))) {
      give(node, pull, nodes, nowNanos);
      return true;
    }
    if (message instanceof LimitMessage.Surpluses surpluses
        && surpluses.surpluses().stream().anyMatch(each -> each.limit().startsWith(PREFIX))) {
      surpluses.surpluses().forEach(each -> accept(surpluses.number(), each, nowNanos));
      return true;
    }
    return false;
  }

  private void give(String node, LimitMessage.Pull pull, int nodes, long nowNanos) {
    List<LimitMessage.Surplus> given = new ArrayList<>();
    for (String name : pull.limits()) {
      if (name.startsWith(PREFIX)) {
        int count = budget.give(name.substring(PREFIX.length()), nodes, nowNanos);
        List<Portion> portions = count == 0 ? List.of() : List.of(new Portion(count * RETRY, 0));
        given.add(new LimitMessage.Surplus(name, portions));
      }
    }
    sender.send(node, new LimitMessage.Surpluses(pull.number(), given));
  }

  private void accept(long number, LimitMessage.Surplus surplus, long nowNanos) {
    if (!surplus.limit().startsWith(PREFIX)) {
      return;
    }
    String service = surplus.limit().substring(PREFIX.length());
    Question question = questions.get(service);
    if (question == null || question.number() != number) {
      return;
    }
    // A repeated reply is not accepted.
    long intervalNanos =
        surplus.portions().isEmpty() ? question.intervalNanos() : MIN_ASK_INTERVAL_NANOS / 2;
    questions.put(service, new Question(nextNumber++, question.sentNanos(), intervalNanos));
    for (Portion portion : surplus.portions()) {
      int count = (int) Math.max(0, portion.microTokens() / RETRY);
      budget.receive(service, count, question.sentNanos(), nowNanos);
    }
  }

  /** Discards received retries, because the clock did not count a suspension of the host. */
  public void discardReceived() {
    budget.discardReceived();
    questions.clear();
  }
}
