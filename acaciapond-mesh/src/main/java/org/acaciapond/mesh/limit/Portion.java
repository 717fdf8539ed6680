package org.acaciapond.mesh.limit;

/**
 * Tokens on their way between two nodes.
 *
 * @param microTokens number of tokens in millionths
 * @param ageMs time since the production of the oldest one, when they were sent
 */
public record Portion(long microTokens, int ageMs) {}
