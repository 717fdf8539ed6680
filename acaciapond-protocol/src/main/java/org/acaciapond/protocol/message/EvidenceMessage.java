package org.acaciapond.protocol.message;

import org.acaciapond.rollout.evidence.EvidenceSummary;

/**
 * Summary of calls, sent to the judges of a rollout.
 *
 * @param summary what one witness saw in one interval
 */
public record EvidenceMessage(EvidenceSummary summary) implements Message {}
