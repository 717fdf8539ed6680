package org.acaciapond.mesh.platform;

/** Socket address from the settings. */
public record SocketAddressSetting(String host, int port) {}
