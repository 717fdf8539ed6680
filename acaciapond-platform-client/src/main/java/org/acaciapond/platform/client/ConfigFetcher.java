package org.acaciapond.platform.client;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.acaciapond.config.version.ConfigEdit;
import org.acaciapond.config.version.ConfigVersion;
import org.acaciapond.config.version.EditDelta;
import org.acaciapond.config.version.ServiceSlice;
import org.acaciapond.config.version.SliceIndex;
import org.acaciapond.config.version.SliceRef;

/**
 * Reader of a version that fetches only the slices which differ from those held.
 *
 * <p>It reads the whole text instead when the version held is not among the newest edits, an edit
 * has no difference, an object is missing or the result has not the digest that the edit names.
 */
public final class ConfigFetcher {

  /** Most edits between the version held and the one fetched; an edit object has about 500 B. */
  private static final int MAX_EDITS = 16;

  /** Most slices read one by one; 64 slices of about 1 KB are a tenth of a text of 520 services. */
  private static final int MAX_SLICES = 64;

  private static final int CONCURRENT_READS = 8;

  private final PlatformClient platform;

  /** Creates a fetcher. */
  public ConfigFetcher(PlatformClient platform) {
    this.platform = platform;
  }

  /**
   * Fetches a version.
   *
   * @param version version to fetch
   * @param held version held
   * @param slices slices of all services of the version held
   */
  public Uni<ConfigContent> fetch(
      ConfigVersion version, ConfigVersion held, Map<String, ServiceSlice> slices) {
    EditHistory chain = new EditHistory(platform, version.digest(), version.sequence());
    return chain
        .next()
        .chain(
            entry -> {
              Walk walk = new Walk(entry.edit(), chain, held.digest());
              return walk.toHeld(entry.edit())
                  .chain(reached -> reached ? assemble(walk, slices) : nothing())
                  .onFailure(PlatformException.class)
                  .recoverWithUni(ConfigFetcher::nothing)
                  .chain(
                      found ->
                          found.isPresent()
                              ? Uni.createFrom().item(found.get())
                              : text(entry.edit()));
            });
  }

  /** Fetches a version as a whole text. */
  public Uni<ConfigContent> fetchText(ConfigVersion version) {
    return new EditHistory(platform, version.digest(), version.sequence())
        .next()
        .chain(entry -> text(entry.edit()));
  }

  private Uni<ConfigContent> text(ConfigEdit edit) {
    return EditHistory.readText(platform, edit).map(ConfigContent.Text::new);
  }

  private static Uni<Optional<ConfigContent>> nothing() {
    return Uni.createFrom().item(Optional.empty());
  }

  private Uni<Optional<ConfigContent>> assemble(Walk walk, Map<String, ServiceSlice> held) {
    Map<String, ServiceSlice> result = new HashMap<>(held);
    result.keySet().removeIf(name -> walk.last.containsKey(name) && walk.last.get(name).isEmpty());
    List<SliceRef> missing = walk.missing(held);
    if (missing.size() > MAX_SLICES) {
      return nothing();
    }
    return readAll(missing)
        .map(
            read -> {
              read.forEach(slice -> result.put(slice.service(), slice));
              return SliceIndex.of(result.values()).digest().equals(walk.stateDigest)
                  ? Optional.<ConfigContent>of(new ConfigContent.Slices(result))
                  : Optional.<ConfigContent>empty();
            });
  }

  private Uni<List<ServiceSlice>> readAll(List<SliceRef> refs) {
    if (refs.isEmpty()) {
      return Uni.createFrom().item(List.of());
    }
    return Uni.join()
        .all(refs.stream().map(this::readSlice).toList())
        .usingConcurrencyOf(CONCURRENT_READS)
        .andFailFast();
  }

  private Uni<ServiceSlice> readSlice(SliceRef ref) {
    return platform
        .readObject(ref.digest())
        .map(
            object ->
                object
                    .map(bytes -> new ServiceSlice(ref.service(), ref.digest(), bytes))
                    .orElseThrow(
                        () ->
                            new PlatformException(
                                PlatformErrorCode.PLATFORM_PROTOCOL,
                                "slice " + ref.digest() + " is missing",
                                null)));
  }

  /** Differences from the newest edit back to the version held, of which the newer one applies. */
  private static final class Walk {

    private final EditHistory chain;
    private final String heldDigest;
    private final String stateDigest;

    /** Digest of the last slice of each service that an edit changed; empty when it is removed. */
    private final Map<String, Optional<String>> last = new HashMap<>();

    private int edits;

    Walk(ConfigEdit newest, EditHistory chain, String heldDigest) {
      EditDelta delta = newest.delta();
      this.chain = chain;
      this.heldDigest = heldDigest;
      this.stateDigest = delta == null ? "" : delta.stateDigest();
    }

    /** Returns whether the version held was reached. */
    Uni<Boolean> toHeld(ConfigEdit edit) {
      EditDelta delta = edit.delta();
      edits++;
      if (delta == null || heldDigest.isEmpty()) {
        return Uni.createFrom().item(false);
      }
      delta.changed().forEach(ref -> last.putIfAbsent(ref.service(), Optional.of(ref.digest())));
      delta.removed().forEach(name -> last.putIfAbsent(name, Optional.empty()));
      if (chain.nextDigest().equals(heldDigest)) {
        return Uni.createFrom().item(true);
      }
      return edits < MAX_EDITS && chain.hasNext()
          ? chain.next().chain(entry -> toHeld(entry.edit()))
          : Uni.createFrom().item(false);
    }

    List<SliceRef> missing(Map<String, ServiceSlice> held) {
      return last.entrySet().stream()
          .filter(entry -> entry.getValue().isPresent())
          .map(entry -> new SliceRef(entry.getKey(), entry.getValue().get()))
          .filter(ref -> !isHeld(ref, held))
          .toList();
    }

    private static boolean isHeld(SliceRef ref, Map<String, ServiceSlice> held) {
      ServiceSlice slice = held.get(ref.service());
      return slice != null && slice.digest().equals(ref.digest());
    }
  }
}
