package org.acaciapond.config.version;

import java.util.Arrays;

/**
 * Canonical encoding of the configuration of one service, addressed by its content.
 *
 * @param service name of the service
 * @param digest SHA-256 digest of the bytes, in hexadecimal
 * @param bytes canonical JSON in UTF-8
 */
public record ServiceSlice(String service, String digest, byte[] bytes) {

  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceSlice slice
        && service.equals(slice.service)
        && digest.equals(slice.digest);
  }

  @Override
  public int hashCode() {
    return 31 * service.hashCode() + digest.hashCode();
  }

  @Override
  public String toString() {
    return "ServiceSlice[" + service + " " + digest + " " + Arrays.hashCode(bytes) + "]";
  }
}
