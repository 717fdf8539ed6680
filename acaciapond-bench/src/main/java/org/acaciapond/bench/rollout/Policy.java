package org.acaciapond.bench.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.acaciapond.rollout.analysis.AnalysisSettings;
import org.acaciapond.rollout.analysis.TestMethod;
import org.acaciapond.rollout.schedule.ScheduleSettings;

/**
 * Policy by which rollouts are decided: the default, a fixed schedule as baseline, and variants of
 * the default with another test or without one mechanism.
 */
enum Policy {
  STANDARD(UnaryOperator.identity(), ScheduleSettings.DEFAULTS),
  FIXED_SCHEDULE(UnaryOperator.identity(), ScheduleSettings.DEFAULTS),
  CONFIDENCE_SEQUENCE(method(TestMethod.CONFIDENCE_SEQUENCE), ScheduleSettings.DEFAULTS),
  FIXED_WINDOW(method(TestMethod.FIXED_WINDOW), ScheduleSettings.DEFAULTS),
  NO_AGREEMENT(AnalysisSettings::withoutAgreement, ScheduleSettings.DEFAULTS),
  NO_RESTARTS(AnalysisSettings::withoutLaterStartPoints, ScheduleSettings.DEFAULTS),
  NO_HOLD(AnalysisSettings::withoutHold, ScheduleSettings.DEFAULTS),
  NO_COLD_CARE(AnalysisSettings::withoutWarmup, ScheduleSettings.DEFAULTS),
  NO_LOAD_TRIAL(UnaryOperator.identity(), ScheduleSettings.DEFAULTS.withoutLoadTrial());

  private final UnaryOperator<AnalysisSettings> settingsChange;
  private final ScheduleSettings schedule;

  Policy(UnaryOperator<AnalysisSettings> settingsChange, ScheduleSettings schedule) {
    this.settingsChange = settingsChange;
    this.schedule = schedule;
  }

  private static UnaryOperator<AnalysisSettings> method(TestMethod method) {
    return settings -> settings.withMethod(method);
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

  AnalysisSettings analysisSettings(int seconds) {
    return settingsChange.apply(AnalysisSettings.defaults(seconds));
  }

  ScheduleSettings scheduleSettings() {
    return schedule;
  }
}
