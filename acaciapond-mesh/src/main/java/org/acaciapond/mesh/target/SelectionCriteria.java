package org.acaciapond.mesh.target;

/**
 * What the choice of a target weighs of a request.
 *
 * @param answerBytes expected length of the answer, which weighs between failure domains
 * @param runUs mean time of such a request in a target, in microseconds; 0 when unknown
 * @param rank order of admission
 * @param objectiveLeftUs time left until the answer loses worth
 * @param leftUs time left until the deadline
 */
public record SelectionCriteria(
    double answerBytes, double runUs, int rank, double objectiveLeftUs, double leftUs) {}
