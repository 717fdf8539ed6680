package org.acaciapond.routing.admission;

/** Why a call was refused before anything reached the target. */
public enum Refusal {
  /** All slots are taken and the queue is full. */
  QUEUE_FULL,
  /** The deadline would pass before the target could answer. */
  DEADLINE
}
