package org.acaciapond.protocol.message;

/** Message between two nodes. */
public interface Message {}
