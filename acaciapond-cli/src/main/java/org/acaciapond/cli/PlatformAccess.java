package org.acaciapond.cli;

import org.acaciapond.platform.client.PlatformClient;

/** Factory of platform clients; a client connects only when a command needs it. */
@FunctionalInterface
interface PlatformAccess {

  /** Returns a client of the platform at an address. */
  PlatformClient createClient(Address address);
}
