package org.acaciapond.protocol.message;

/** Message that one node sends to another. */
public interface Message {}
