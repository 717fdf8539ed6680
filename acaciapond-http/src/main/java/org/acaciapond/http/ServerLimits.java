package org.acaciapond.http;

/** Limits of what clients of a listener may send, and how long they may take or stay idle. */
public record ServerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}
