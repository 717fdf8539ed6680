package org.acaciapond.protocol.message;

import org.acaciapond.rollout.evidence.EvidenceSummary;

/**
 * Summary of call outcomes, sent to the analyzers of a rollout.
 *
 * @param summary calls of one reporting node in one interval
 */
public record EvidenceMessage(EvidenceSummary summary) implements Message {}
