package org.acaciapond.platform;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** In-memory store of immutable objects, addressed by the SHA-256 of their bytes. */
final class ObjectStore {

  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

  Optional<byte[]> read(String digest) {
    return Optional.ofNullable(objects.get(digest));
  }

  /** Stores an object; returns false if the digest does not match the bytes. */
  boolean write(String digest, byte[] bytes) {
    if (!sha256(bytes).equals(digest)) {
      return false;
    }
    objects.putIfAbsent(digest, bytes);
    return true;
  }

  private static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
