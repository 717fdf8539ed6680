package org.acaciapond.mesh.explain;

import org.acaciapond.mesh.target.TargetPhase;

/**
 * Target that a request might be sent to.
 *
 * @param node key of its node
 * @param domain its failure domain
 * @param targetId id of its lifetime
 * @param version version of its software
 * @param phase phase of its lifecycle
 * @param state whether it would get the request, or why not
 * @param cost expected cost; infinite if it gets no request
 */
public record CandidateExplanation(
    String node,
    String domain,
    String targetId,
    String version,
    TargetPhase phase,
    CandidateState state,
    double cost) {}
