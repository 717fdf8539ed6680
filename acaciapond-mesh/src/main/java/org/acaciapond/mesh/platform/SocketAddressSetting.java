package org.acaciapond.mesh.platform;

/** Host and port from the settings. */
public record SocketAddressSetting(String host, int port) {}
