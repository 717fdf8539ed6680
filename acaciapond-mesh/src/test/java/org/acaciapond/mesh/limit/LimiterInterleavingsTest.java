package org.acaciapond.mesh.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks all sequences of a few events at three nodes. Guards against an order of requests,
 * deliveries, losses, repeats, restarts and suspensions in which a token is spent twice or after
 * its lifetime.
 */
class LimiterInterleavingsTest {

  private static final int NODES = 3;
  private static final int DEPTH = 6;
  private static final long S = 1_000_000_000L;
  private static final long STEP_NANOS = S / 2;
  private static final TokenPolicy POLICY = new TokenPolicy(1.05, 2 * S);
  private static final String LIMIT = "a";

  private int sequences;

  /** Message on its way. */
  private record Sent(int from, int to, LimitMessage message) {}

  /** One run of a sequence of events from the start. */
  private static final class Run {
    final SharedLimiter[] nodes = new SharedLimiter[NODES];
    final long[] stoppedNanos = new long[NODES];
    final Deque<Sent> sent = new ArrayDeque<>();
    final List<Long> spentNanos = new ArrayList<>();
    long nowNanos;

    Run() {
      for (int i = 0; i < NODES; i++) {
        restart(i);
      }
      nowNanos = 4 * S;
      // Tokens are produced when a node is used, so that the start is not part of the sequence.
      Arrays.stream(nodes).forEach(node -> node.tryTake("none", nowNanos));
    }

    void restart(int index) {
      String self = "n" + index;
      nodes[index] =
          new SharedLimiter(
              self,
              (to, message) -> sent.add(new Sent(index, to.charAt(1) - '0', message)),
              1_000L * nowNanos + index);
      nodes[index].setPolicies(Map.of(LIMIT, POLICY), clock(index));
      List<String> others = new ArrayList<>(List.of("n0", "n1", "n2"));
      others.remove(self);
      nodes[index].setMembers(others, NODES);
    }

    long clock(int index) {
      return nowNanos - stoppedNanos[index];
    }

    int choices() {
      return 6 + 3 * Math.min(2, sent.size());
    }

    void apply(int choice) {
      switch (choice) {
        case 0 -> request(0);
        case 1 -> request(1);
        case 2 -> {
          nowNanos += STEP_NANOS;
          Arrays.stream(new int[] {0, 1, 2}).forEach(i -> nodes[i].tick(clock(i)));
        }
        case 3 -> restart(0);
        case 4 -> restart(2);
        case 5 -> {
          nowNanos += STEP_NANOS;
          stoppedNanos[1] += STEP_NANOS;
          nodes[1].discardTokens(clock(1));
        }
        default -> transmit((choice - 6) / 3, (choice - 6) % 3);
      }
    }

    private void request(int index) {
      nodes[index].acquire(
          LIMIT,
          100,
          new SharedLimiter.Waiter() {
            @Override
            public void granted(long producedNanos) {
              spentNanos.add(nowNanos);
            }

            @Override
            public void refused(int retryAfterMs) {
              // Not sent.
            }
          },
          clock(index));
    }

    // Delivers, repeats or loses the first or the last message on its way.
    private void transmit(int position, int fate) {
      Sent message = position == 0 ? sent.removeFirst() : sent.removeLast();
      int copies = fate;
      for (int i = 0; i < copies; i++) {
        nodes[message.to()].receive("n" + message.from(), message.message(), clock(message.to()));
      }
    }

    boolean withinBound() {
      for (int first = 0; first < spentNanos.size(); first++) {
        for (int last = first; last < spentNanos.size(); last++) {
          long spanNanos = spentNanos.get(last) - spentNanos.get(first);
          double bound = POLICY.tokensPerS() * (spanNanos + POLICY.lifetimeNanos()) / 1e9;
          if (last - first + 1 > bound + 1e-6) {
            return false;
          }
        }
      }
      return true;
    }
  }

  private void explore(int[] choices, int length) {
    Run run = new Run();
    for (int i = 0; i < length; i++) {
      run.apply(choices[i]);
    }
    sequences++;
    assertTrue(
        run.withinBound(), () -> "events " + Arrays.toString(Arrays.copyOf(choices, length)));
    if (length < DEPTH) {
      int count = run.choices();
      for (int choice = 0; choice < count; choice++) {
        choices[length] = choice;
        explore(choices, length + 1);
      }
    }
  }

  @Test
  void noSequenceExceedsTheBound() {
    explore(new int[DEPTH], 0);
    assertTrue(sequences > 100_000, "sequences " + sequences);
  }
}
