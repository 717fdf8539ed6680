package org.acaciapond.bench.pace;

import java.util.List;
import org.acaciapond.mesh.pace.PaceState;

/**
 * What callers got in one run.
 *
 * @param offered calls that arrived
 * @param offeredInTrouble those that arrived while the target was in trouble
 * @param served calls answered before their deadline
 * @param servedInTime calls answered within their latency objective
 * @param refused calls that were never sent to the target
 * @param refusedByTarget calls that the target refused
 * @param lost calls that were sent and got no answer
 * @param lostForGood those that may not be repeated
 * @param repeatable lost idempotent calls with enough time left to be repeated at another target
 * @param untilFullS time from the end of the trouble until nine tenths of the slots were busy, NaN
 *     if they never were
 * @param mostInSecond largest number of requests that arrived at the cold target in a second
 * @param crashes crashes of the cold target
 * @param states states of the pace, in order
 */
record PaceResult(
    int offered,
    int offeredInTrouble,
    int served,
    int servedInTime,
    int refused,
    int refusedByTarget,
    int lost,
    int lostForGood,
    int repeatable,
    double untilFullS,
    int mostInSecond,
    int crashes,
    List<PaceState> states) {}
