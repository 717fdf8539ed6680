package org.acaciapond.http;

/** Limits for the size of requests, the time to receive a header and the idle time. */
public record ServerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}
