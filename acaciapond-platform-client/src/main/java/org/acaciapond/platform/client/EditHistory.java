package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.NoSuchElementException;
import java.util.Optional;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigException;
import org.jspecify.annotations.Nullable;

/** Walk over the accepted edits from the head back to the first; reads each object on demand. */
public final class EditHistory {

  /**
   * Edit with its address.
   *
   * @param digest digest of its object
   * @param edit its content
   */
  public record Entry(String digest, ConfigEdit edit) {

    /** Returns the head that named this edit. */
    public ConfigHead toHead() {
      return new ConfigHead(edit.epoch(), edit.sequence(), digest, edit.editId(), edit.operator());
    }
  }

  private final PlatformClient platform;
  private String nextDigest;
  private long nextSequence;

  /** Creates a walk that starts at the edit with a digest and a sequence. */
  public EditHistory(PlatformClient platform, String digest, long sequence) {
    this.platform = platform;
    this.nextDigest = digest;
    this.nextSequence = sequence;
  }

  /** Creates a walk that starts at a head. */
  public EditHistory(PlatformClient platform, ConfigHead head) {
    this(platform, head.digest(), head.sequence());
  }

  /** Returns whether an older edit is left. */
  public boolean hasNext() {
    return !nextDigest.isEmpty();
  }

  /** Returns the digest of the next older edit; empty after the first edit. */
  public String nextDigest() {
    return nextDigest;
  }

  /**
   * Reads the next older edit; fails with {@link PlatformException} when its object is missing, is
   * not an edit or is out of order. The next call has to wait for the result.
   */
  public Uni<Entry> next() {
    if (!hasNext()) {
      throw new NoSuchElementException();
    }
    return platform.readObject(nextDigest).map(this::advance);
  }

  private Entry advance(Optional<byte[]> object) {
    byte[] bytes = object.orElseThrow(() -> broken("object " + nextDigest + " is missing", null));
    Entry entry = new Entry(nextDigest, decode(bytes));
    if (entry.edit().sequence() != nextSequence) {
      throw broken("object " + nextDigest + " has sequence " + entry.edit().sequence(), null);
    }
    nextDigest = entry.edit().parentDigest();
    nextSequence--;
    return entry;
  }

  /** Reads the whole text of an edit. */
  public static Uni<String> readText(PlatformClient platform, ConfigEdit edit) {
    return platform
        .readObject(edit.textDigest())
        .map(
            object ->
                object
                    .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                    .orElseThrow(
                        () ->
                            broken(
                                edit.sequence(),
                                "text " + edit.textDigest() + " is missing",
                                null)));
  }

  /** Reads the whole text of the edit that a head names. */
  public static Uni<String> readText(PlatformClient platform, ConfigHead head) {
    return new EditHistory(platform, head).next().chain(entry -> readText(platform, entry.edit()));
  }

  private ConfigEdit decode(byte[] bytes) {
    try {
      return ConfigCodec.decodeEdit(bytes);
    } catch (ConfigException e) {
      throw broken("object " + nextDigest + " is not an edit", e);
    }
  }

  private PlatformException broken(String message, @Nullable Throwable cause) {
    return broken(nextSequence, message, cause);
  }

  private static PlatformException broken(
      long sequence, String message, @Nullable Throwable cause) {
    return new PlatformException(
        PlatformErrorCode.PLATFORM_PROTOCOL,
        "the history breaks at version " + sequence + ": " + message,
        cause);
  }
}
