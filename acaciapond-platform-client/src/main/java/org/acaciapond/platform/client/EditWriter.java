package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.acaciapond.common.error.AcaciapondException;
import org.acaciapond.config.text.ConfigTextParser;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigException;
import org.acaciapond.config.version.EditDelta;
import org.acaciapond.config.version.ServiceSlice;
import org.acaciapond.config.version.SliceIndex;
import org.acaciapond.config.version.SliceRef;
import org.jspecify.annotations.Nullable;

/** Writer of the objects of an edit: its text, the changed slices and the edit itself. */
final class EditWriter {

  /**
   * Limit of the slices written for one edit. An edit that changes more is read as a whole text, so
   * that publishing it takes at most a fifth of a second of the platform's 300 writes per second.
   */
  private static final int MAX_SLICES_WRITTEN = 64;

  private static final int CONCURRENT_WRITES = 8;

  private final PlatformClient platform;

  EditWriter(PlatformClient platform) {
    this.platform = platform;
  }

  /**
   * Writes the objects and returns the edit with its digest; the head does not refer to it yet.
   *
   * @param head parent of the edit; empty for the first edit
   * @param draft edit without text and delta
   */
  Uni<EditHistory.Entry> write(Optional<ConfigHead> head, ConfigEdit draft, String text) {
    byte[] textBytes = text.getBytes(StandardCharsets.UTF_8);
    Optional<List<ServiceSlice>> slices = parseSlices(text);
    if (head.isEmpty() || slices.isEmpty()) {
      return writeText(textBytes).chain(digest -> writeEdit(draft, digest, textBytes, null));
    }
    return readParentSlices(head.get())
        .chain(
            parent ->
                writeText(textBytes)
                    .chain(
                        digest ->
                            parent.isEmpty()
                                ? writeEdit(draft, digest, textBytes, null)
                                : writeDelta(
                                    draft, digest, textBytes, parent.get(), slices.get())));
  }

  /** Returns the slices of a text; empty if it cannot be parsed, which its readers report. */
  private static Optional<List<ServiceSlice>> parseSlices(String text) {
    try {
      return Optional.of(SliceIndex.slices(ConfigTextParser.parse(text)));
    } catch (ConfigException e) {
      return Optional.empty();
    }
  }

  /** Reads the slices of the parent; an edit without a delta is valid but costs more to read. */
  private Uni<Optional<List<ServiceSlice>>> readParentSlices(ConfigHead head) {
    return EditHistory.readText(platform, head)
        .map(EditWriter::parseSlices)
        .onFailure(AcaciapondException.class)
        .recoverWithItem(Optional.empty());
  }

  private Uni<String> writeText(byte[] textBytes) {
    return platform.writeObject(textBytes);
  }

  private Uni<EditHistory.Entry> writeDelta(
      ConfigEdit draft,
      String textDigest,
      byte[] textBytes,
      Collection<ServiceSlice> parent,
      Collection<ServiceSlice> slices) {
    EditDelta delta = EditDelta.between(parent, slices);
    Set<String> names = delta.changed().stream().map(SliceRef::service).collect(Collectors.toSet());
    List<byte[]> changed =
        slices.stream()
            .filter(slice -> names.contains(slice.service()))
            .map(ServiceSlice::bytes)
            .toList();
    long changedBytes = changed.stream().mapToLong(bytes -> bytes.length).sum();
    if (changed.size() > MAX_SLICES_WRITTEN || changedBytes > textBytes.length) {
      return writeEdit(draft, textDigest, textBytes, null);
    }
    return writeAll(changed).chain(() -> writeEdit(draft, textDigest, textBytes, delta));
  }

  private Uni<Void> writeAll(List<byte[]> objects) {
    if (objects.isEmpty()) {
      return Uni.createFrom().voidItem();
    }
    return Uni.join()
        .all(objects.stream().map(platform::writeObject).toList())
        .usingConcurrencyOf(CONCURRENT_WRITES)
        .andFailFast()
        .replaceWithVoid();
  }

  private Uni<EditHistory.Entry> writeEdit(
      ConfigEdit draft, String textDigest, byte[] textBytes, @Nullable EditDelta delta) {
    ConfigEdit edit =
        new ConfigEdit(
            draft.epoch(),
            draft.sequence(),
            draft.parentDigest(),
            draft.editId(),
            draft.operator(),
            draft.createdAt(),
            textDigest,
            textBytes.length,
            delta);
    return platform
        .writeObject(ConfigCodec.encodeEdit(edit))
        .map(digest -> new EditHistory.Entry(digest, edit));
  }
}
