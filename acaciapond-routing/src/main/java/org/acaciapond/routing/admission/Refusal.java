package org.acaciapond.routing.admission;

/** Reason for refusing a call before anything reached the target. */
public enum Refusal {
  /** All slots are in use and the queue is full. */
  QUEUE_FULL,
  /** The deadline would pass before the target could answer. */
  DEADLINE
}
