package org.acaciapond.cli.edit;

import java.util.Iterator;
import java.util.NoSuchElementException;
import org.acaciapond.cli.output.CliErrorCode;
import org.acaciapond.cli.output.CliException;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.platform.client.ConfigHead;
import org.acaciapond.platform.client.PlatformClient;
import org.jspecify.annotations.Nullable;

/** Walk over the accepted edits from the head back to the first; reads each object on demand. */
public final class EditChain implements Iterator<EditChain.Entry> {

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

  /** Creates a walk that starts at a head. */
  public EditChain(PlatformClient platform, ConfigHead head) {
    this.platform = platform;
    this.nextDigest = head.digest();
    this.nextSequence = head.sequence();
  }

  @Override
  public boolean hasNext() {
    return !nextDigest.isEmpty();
  }

  /** Returns the next older edit; fails when its object is missing or out of order. */
  @Override
  public Entry next() {
    if (!hasNext()) {
      throw new NoSuchElementException();
    }
    byte[] bytes =
        platform
            .readObject(nextDigest)
            .await()
            .indefinitely()
            .orElseThrow(() -> broken("object " + nextDigest + " is missing", null));
    Entry entry = new Entry(nextDigest, decode(bytes));
    if (entry.edit().sequence() != nextSequence) {
      throw broken("object " + nextDigest + " has sequence " + entry.edit().sequence(), null);
    }
    nextDigest = entry.edit().parentDigest();
    nextSequence--;
    return entry;
  }

  private ConfigEdit decode(byte[] bytes) {
    try {
      return ConfigCodec.decodeEdit(bytes);
    } catch (ConfigException e) {
      throw broken("object " + nextDigest + " is not an edit", e);
    }
  }

  private CliException broken(String message, @Nullable Throwable cause) {
    return new CliException(
        CliErrorCode.UNAVAILABLE,
        "the history breaks at version " + nextSequence + ": " + message,
        cause);
  }
}
