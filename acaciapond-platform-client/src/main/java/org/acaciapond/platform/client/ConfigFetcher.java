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
 * Fetcher of a configuration version that reads only the slices that differ from a known version.
 *
 * <p>It reads the whole text instead if the known version is not among the newest edits, an edit
 * has no delta, an object is missing, or the resulting state does not have the digest in the edit.
 */
public final class ConfigFetcher {

  /** Limit of the edits read back to the known version; an edit object has about 500 B. */
  private static final int MAX_EDITS_READ = 16;

  /** Limit of the slices read; 64 slices of about 1 KB are a tenth of the text of 520 services. */
  private static final int MAX_SLICES_READ = 64;

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
   * @param known version that the caller has already
   * @param slices slices of all services of the known version
   */
  public Uni<ConfigContent> fetch(
      ConfigVersion version, ConfigVersion known, Map<String, ServiceSlice> slices) {
    EditHistory history = new EditHistory(platform, version.digest(), version.sequence());
    return history
        .next()
        .chain(
            entry -> {
              DeltaCollector collector = new DeltaCollector(entry.edit(), history, known.digest());
              return collector
                  .collectUntilKnown(entry.edit())
                  .chain(reached -> reached ? assembleSlices(collector, slices) : emptyResult())
                  .onFailure(PlatformException.class)
                  .recoverWithUni(ConfigFetcher::emptyResult)
                  .chain(
                      found ->
                          found.isPresent()
                              ? Uni.createFrom().item(found.get())
                              : readText(entry.edit()));
            });
  }

  /** Fetches a version as a whole text. */
  public Uni<ConfigContent> fetchText(ConfigVersion version) {
    return new EditHistory(platform, version.digest(), version.sequence())
        .next()
        .chain(entry -> readText(entry.edit()));
  }

  private Uni<ConfigContent> readText(ConfigEdit edit) {
    return EditHistory.readText(platform, edit).map(ConfigContent.Text::new);
  }

  private static Uni<Optional<ConfigContent>> emptyResult() {
    return Uni.createFrom().item(Optional.empty());
  }

  private Uni<Optional<ConfigContent>> assembleSlices(
      DeltaCollector collector, Map<String, ServiceSlice> known) {
    Map<String, ServiceSlice> result = new HashMap<>(known);
    result
        .keySet()
        .removeIf(
            name ->
                collector.latestDigests.containsKey(name)
                    && collector.latestDigests.get(name).isEmpty());
    List<SliceRef> missing = collector.slicesToRead(known);
    if (missing.size() > MAX_SLICES_READ) {
      return emptyResult();
    }
    return readAll(missing)
        .map(
            read -> {
              read.forEach(slice -> result.put(slice.service(), slice));
              return SliceIndex.of(result.values()).digest().equals(collector.stateDigest)
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

  /**
   * Collector of the deltas from the newest edit back to the known one; newer deltas take
   * precedence.
   */
  private static final class DeltaCollector {

    private final EditHistory history;
    private final String knownDigest;
    private final String stateDigest;

    /** Digest of the latest slice of each changed service; empty if the service is removed. */
    private final Map<String, Optional<String>> latestDigests = new HashMap<>();

    private int edits;

    DeltaCollector(ConfigEdit newest, EditHistory history, String knownDigest) {
      EditDelta delta = newest.delta();
      this.history = history;
      this.knownDigest = knownDigest;
      this.stateDigest = delta == null ? "" : delta.stateDigest();
    }

    /** Reads older edits up to the limit; returns whether the known version was reached. */
    Uni<Boolean> collectUntilKnown(ConfigEdit edit) {
      EditDelta delta = edit.delta();
      edits++;
      if (delta == null || knownDigest.isEmpty()) {
        return Uni.createFrom().item(false);
      }
      delta
          .changed()
          .forEach(ref -> latestDigests.putIfAbsent(ref.service(), Optional.of(ref.digest())));
      delta.removed().forEach(name -> latestDigests.putIfAbsent(name, Optional.empty()));
      if (history.nextDigest().equals(knownDigest)) {
        return Uni.createFrom().item(true);
      }
      return edits < MAX_EDITS_READ && history.hasNext()
          ? history.next().chain(entry -> collectUntilKnown(entry.edit()))
          : Uni.createFrom().item(false);
    }

    List<SliceRef> slicesToRead(Map<String, ServiceSlice> known) {
      return latestDigests.entrySet().stream()
          .filter(entry -> entry.getValue().isPresent())
          .map(entry -> new SliceRef(entry.getKey(), entry.getValue().get()))
          .filter(ref -> !isKnown(ref, known))
          .toList();
    }

    private static boolean isKnown(SliceRef ref, Map<String, ServiceSlice> known) {
      ServiceSlice slice = known.get(ref.service());
      return slice != null && slice.digest().equals(ref.digest());
    }
  }
}
