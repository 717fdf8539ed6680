package org.acaciapond.bench.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.acaciapond.rollout.judgement.JudgeSettings;
import org.acaciapond.rollout.judgement.TestMethod;
import org.acaciapond.rollout.pace.PaceSettings;

/**
 * Way of deciding a rollout: the product's, the baseline, and the product without one mechanism.
 */
enum Policy {
  STANDARD(UnaryOperator.identity(), PaceSettings.DEFAULTS),
  FIXED_SCHEDULE(UnaryOperator.identity(), PaceSettings.DEFAULTS),
  CONFIDENCE_SEQUENCE(method(TestMethod.CONFIDENCE_SEQUENCE), PaceSettings.DEFAULTS),
  FIXED_WINDOW(method(TestMethod.FIXED_WINDOW), PaceSettings.DEFAULTS),
  NO_AGREEMENT(JudgeSettings::withoutAgreement, PaceSettings.DEFAULTS),
  NO_RESTARTS(JudgeSettings::withoutRestarts, PaceSettings.DEFAULTS),
  NO_HOLD(JudgeSettings::withoutHold, PaceSettings.DEFAULTS),
  NO_COLD_CARE(JudgeSettings::withoutColdCare, PaceSettings.DEFAULTS),
  NO_LOAD_TRIAL(UnaryOperator.identity(), PaceSettings.DEFAULTS.withoutLoadTrial());

  private final UnaryOperator<JudgeSettings> judge;
  private final PaceSettings pace;

  Policy(UnaryOperator<JudgeSettings> judge, PaceSettings pace) {
    this.judge = judge;
    this.pace = pace;
  }

  private static UnaryOperator<JudgeSettings> method(TestMethod method) {
    return judge -> judge.withMethod(method);
  }

  static Optional<Policy> named(String name) {
    for (Policy policy : values()) {
      if (policy.label().equals(name)) {
        return Optional.of(policy);
      }
    }
    return Optional.empty();
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  JudgeSettings judgeSettings(int seconds) {
    return judge.apply(JudgeSettings.defaults(seconds));
  }

  PaceSettings paceSettings() {
    return pace;
  }
}
