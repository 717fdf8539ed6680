package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.NoSuchElementException;
import java.util.Optional;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigException;
import org.jspecify.annotations.Nullable;

/** Iterator over the accepted edits from the head back to the first; reads objects on demand. */
public final class EditHistory {

  /**
   * Edit with the digest of its object.
   *
   * @param digest digest of the object of the edit
   * @param edit content of the object
   */
  public record Entry(String digest, ConfigEdit edit) {

    /** Returns the head that names this edit. */
    public ConfigHead toHead() {
      return new ConfigHead(edit.epoch(), edit.sequence(), digest, edit.editId(), edit.operator());
    }
  }

  private final PlatformClient platform;
  private String nextDigest;
  private long nextSequence;

  /** Creates an iterator that starts at the edit with a digest and a sequence. */
  public EditHistory(PlatformClient platform, String digest, long sequence) {
    this.platform = platform;
    this.nextDigest = digest;
    this.nextSequence = sequence;
  }

  /** Creates an iterator that starts at a head. */
  public EditHistory(PlatformClient platform, ConfigHead head) {
    this(platform, head.digest(), head.sequence());
  }

  /** Returns whether there is an older edit. */
  public boolean hasNext() {
    return !nextDigest.isEmpty();
  }

  /** Returns the digest of the next older edit; empty after the first edit. */
  public String nextDigest() {
    return nextDigest;
  }

  /**
   * Reads the next older edit; fails with {@link PlatformException} if its object is missing, is
   * not an edit or has an unexpected sequence. The next call must wait for the result of this one.
   */
  public Uni<Entry> next() {
    if (!hasNext()) {
      throw new NoSuchElementException();
    }
    return platform.readObject(nextDigest).map(this::advance);
  }

  private Entry advance(Optional<byte[]> object) {
    byte[] bytes =
        object.orElseThrow(() -> protocolError("object " + nextDigest + " is missing", null));
    Entry entry = new Entry(nextDigest, decode(bytes));
    if (entry.edit().sequence() != nextSequence) {
      throw protocolError(
          "object " + nextDigest + " has sequence " + entry.edit().sequence(), null);
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
                            protocolError(
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
      throw protocolError("object " + nextDigest + " is not an edit", e);
    }
  }

  private PlatformException protocolError(String message, @Nullable Throwable cause) {
    return protocolError(nextSequence, message, cause);
  }

  private static PlatformException protocolError(
      long sequence, String message, @Nullable Throwable cause) {
    return new PlatformException(
        PlatformErrorCode.PLATFORM_PROTOCOL,
        "the history breaks at version " + sequence + ": " + message,
        cause);
  }
}
