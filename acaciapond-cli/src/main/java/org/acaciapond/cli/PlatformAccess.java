package org.acaciapond.cli;

import org.acaciapond.platform.client.PlatformClient;

/** Access to a platform by its address; connects only when a command needs it. */
@FunctionalInterface
interface PlatformAccess {

  /** Returns a client of the platform at an address. */
  PlatformClient at(Address address);
}
