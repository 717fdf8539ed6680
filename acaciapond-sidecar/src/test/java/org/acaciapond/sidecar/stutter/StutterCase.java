package org.acaciapond.sidecar.stutter;

import java.util.List;

/** Faults of the targets in one run. */
record StutterCase(List<ResponseFault> faults, double rate, boolean repeatedIds) {

  private static final double RATE = 0.15;

  static StutterCase of(List<ResponseFault> faults, boolean repeatedIds) {
    return new StutterCase(faults, faults.isEmpty() ? 0 : RATE, repeatedIds);
  }
}
