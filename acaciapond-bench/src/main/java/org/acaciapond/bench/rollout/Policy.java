package org.acaciapond.bench.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.acaciapond.rollout.analysis.AnalysisSettings;
import org.acaciapond.rollout.analysis.TestMethod;
import org.acaciapond.rollout.schedule.ScheduleSettings;

/**
 * Way of deciding a rollout: the product's, the baseline, and the product without one mechanism.
 */
enum Policy {
  STANDARD(UnaryOperator.identity(), ScheduleSettings.DEFAULTS),
  FIXED_SCHEDULE(UnaryOperator.identity(), ScheduleSettings.DEFAULTS),
  CONFIDENCE_SEQUENCE(method(TestMethod.CONFIDENCE_SEQUENCE), ScheduleSettings.DEFAULTS),
  FIXED_WINDOW(method(TestMethod.FIXED_WINDOW), ScheduleSettings.DEFAULTS),
  NO_AGREEMENT(AnalysisSettings::withoutAgreement, ScheduleSettings.DEFAULTS),
  NO_RESTARTS(AnalysisSettings::withoutRestarts, ScheduleSettings.DEFAULTS),
  NO_HOLD(AnalysisSettings::withoutHold, ScheduleSettings.DEFAULTS),
  NO_COLD_CARE(AnalysisSettings::withoutColdCare, ScheduleSettings.DEFAULTS),
  NO_LOAD_TRIAL(UnaryOperator.identity(), ScheduleSettings.DEFAULTS.withoutLoadTrial());

  private final UnaryOperator<AnalysisSettings> judge;
  private final ScheduleSettings pace;

  Policy(UnaryOperator<AnalysisSettings> judge, ScheduleSettings pace) {
    this.judge = judge;
    this.pace = pace;
  }

  private static UnaryOperator<AnalysisSettings> method(TestMethod method) {
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

  AnalysisSettings judgeSettings(int seconds) {
    return judge.apply(AnalysisSettings.defaults(seconds));
  }

  ScheduleSettings paceSettings() {
    return pace;
  }
}
