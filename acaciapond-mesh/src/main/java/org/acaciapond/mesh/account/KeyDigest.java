package org.acaciapond.mesh.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digest of the key of a client account. The key itself is not kept, and its text form does not
 * reveal anything of it, so that neither logs nor exceptions can contain a key.
 */
public final class KeyDigest {

  private static final String ALGORITHM = "SHA-256";

  private final byte[] digest;
  private final int hash;

  private KeyDigest(byte[] digest) {
    this.digest = digest;
    this.hash =
        (digest[0] & 0xff) << 24
            | (digest[1] & 0xff) << 16
            | (digest[2] & 0xff) << 8
            | (digest[3] & 0xff);
  }

  /** Returns the digest of a key. */
  public static KeyDigest of(String key) {
    try {
      MessageDigest algorithm = MessageDigest.getInstance(ALGORITHM);
      return new KeyDigest(algorithm.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }

  // The time of the comparison does not depend on the content of the digests.
  @Override
  public boolean equals(Object other) {
    return other instanceof KeyDigest that && MessageDigest.isEqual(digest, that.digest);
  }

  @Override
  public int hashCode() {
    return hash;
  }

  @Override
  public String toString() {
    return "KeyDigest";
  }
}
