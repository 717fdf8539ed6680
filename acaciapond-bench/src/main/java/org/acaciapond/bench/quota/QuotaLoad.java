package org.acaciapond.bench.quota;

import java.util.Arrays;

/** Requests of accounts with skewed shares; one of them sends many times its usual for a while. */
final class QuotaLoad {

  private static final double REQUESTS_PER_NODE_S = 20;
  private static final double LIMIT_FACTOR = 1.6;
  private static final int HOT_ACCOUNT = 4;
  private static final double HOT_FACTOR = 7.5;

  private final double[] usualPerS;
  private final double burstS;

  QuotaLoad(int accounts, double skew, double burstS, int nodes) {
    double[] weights = new double[accounts];
    for (int i = 0; i < accounts; i++) {
      weights[i] = Math.pow(i + 1, -skew);
    }
    double sum = Arrays.stream(weights).sum();
    this.usualPerS =
        Arrays.stream(weights).map(each -> each / sum * nodes * REQUESTS_PER_NODE_S).toArray();
    this.burstS = burstS;
  }

  int accounts() {
    return usualPerS.length;
  }

  double limitPerS(int account) {
    return usualPerS[account] * LIMIT_FACTOR;
  }

  double burst(int account) {
    return limitPerS(account) * burstS;
  }

  double requestsPerS(int account, boolean hot) {
    boolean isHot = hot && account == Math.min(HOT_ACCOUNT, accounts() - 1);
    return usualPerS[account] * (isHot ? HOT_FACTOR : 1);
  }
}
