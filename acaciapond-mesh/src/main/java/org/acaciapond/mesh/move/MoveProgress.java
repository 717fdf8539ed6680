package org.acaciapond.mesh.move;

/** Row that states how far the move of a service to a version is. */
public record MoveProgress(String service, String toVersion, MoveState state) {}
