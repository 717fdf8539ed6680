package org.acaciapond.mesh.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Shares of the client accounts in the work of one target, after start-time fair queueing. Admitted
 * calls add their service times to the work by which their account is ahead of its fair share, and
 * that work flows off at the fair share of the slots. A call of an account that is ahead goes
 * behind the other calls of its rank by the time that it is ahead, so that an account which sends
 * many times its usual takes what others leave. An account whose calls are admitted much less often
 * than all is not delayed. Calls without an account never are.
 */
final class AccountShares {

  // Calls that an account may have at once without being ahead of its share.
  private static final double BURST_CALLS = 4;
  private static final double MAX_DELAY_US = 1_000_000;
  private static final double MIN_RELATIVE_ADMITTED_SHARE = 0.5;
  private static final long HALVING_NANOS = 1_000_000_000L;
  // An account with fewer calls than this in the last seconds does not count for the shares.
  private static final double MIN_OFFERED = 0.1;
  private static final int MAX_ACCOUNTS = 4_096;

  private final Map<String, Usage> usages = new HashMap<>();
  private final Usage overall = new Usage();
  private long halvedNanos;

  /** Calls of one account in the last seconds, with decreasing weight. */
  private static final class Usage {
    double aheadUs;
    long updatedNanos;
    double offered;
    double admitted;

    void halve() {
      offered /= 2;
      admitted /= 2;
    }
  }

  /**
   * Records a call that arrives; returns the time by which it goes behind others of its rank.
   *
   * @param account name of the account, empty for none
   * @param serviceUs expected service time
   * @param slots slots of the target
   */
  double offer(String account, double serviceUs, int slots, long nowNanos) {
    halve(nowNanos);
    if (account.isEmpty()) {
      return 0;
    }
    Usage usage = usageOf(account, nowNanos);
    double shareOfSlots = (double) Math.max(1, slots) / usages.size();
    double flowedUs = (nowNanos - usage.updatedNanos) / 1_000.0 * shareOfSlots;
    usage.aheadUs = Math.max(0, usage.aheadUs - flowedUs);
    usage.updatedNanos = nowNanos;
    usage.offered++;
    overall.offered++;
    double excessUs = usage.aheadUs - BURST_CALLS * serviceUs;
    if (excessUs <= 0 || isStarved(usage)) {
      return 0;
    }
    return Math.min(MAX_DELAY_US, excessUs / shareOfSlots);
  }

  private Usage usageOf(String account, long nowNanos) {
    Usage usage = usages.get(account);
    if (usage == null && usages.size() < MAX_ACCOUNTS) {
      usage = new Usage();
      usage.updatedNanos = nowNanos;
      usages.put(account, usage);
    }
    return usage == null ? overall : usage;
  }

  private boolean isStarved(Usage usage) {
    return usage.admitted * overall.offered
        < MIN_RELATIVE_ADMITTED_SHARE * overall.admitted * usage.offered;
  }

  /** Records that a call was admitted. */
  void recordAdmitted(String account, double serviceUs) {
    Usage usage = usages.get(account);
    if (usage != null) {
      usage.aheadUs += serviceUs;
      usage.admitted++;
      overall.admitted++;
    }
  }

  /** Records that an admitted call left without running. */
  void recordDropped(String account, double serviceUs) {
    Usage usage = usages.get(account);
    if (usage != null) {
      usage.aheadUs = Math.max(0, usage.aheadUs - serviceUs);
      usage.admitted = Math.max(0, usage.admitted - 1);
      overall.admitted = Math.max(0, overall.admitted - 1);
    }
  }

  private void halve(long nowNanos) {
    if (nowNanos - halvedNanos < HALVING_NANOS) {
      return;
    }
    halvedNanos = nowNanos;
    overall.halve();
    Iterator<Usage> each = usages.values().iterator();
    while (each.hasNext()) {
      Usage usage = each.next();
      usage.halve();
      if (usage.offered < MIN_OFFERED) {
        each.remove();
      }
    }
  }
}
