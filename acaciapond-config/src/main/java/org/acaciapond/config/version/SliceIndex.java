package org.acaciapond.config.version;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.acaciapond.config.model.MeshConfig;

/** Index of the slice digests of all services of one version. */
public final class SliceIndex {

  private final SortedMap<String, String> digests;

  private SliceIndex(SortedMap<String, String> digests) {
    this.digests = digests;
  }

  /** Creates the index of the slices. */
  public static SliceIndex of(Collection<ServiceSlice> slices) {
    SortedMap<String, String> digests = new TreeMap<>();
    slices.forEach(slice -> digests.put(slice.service(), slice.digest()));
    return new SliceIndex(digests);
  }

  /** Encodes each service of a configuration as a slice. */
  public static List<ServiceSlice> slices(MeshConfig config) {
    return config.services().stream().map(ConfigCodec::slice).toList();
  }

  /** Returns the slice digests by service name. */
  public Map<String, String> digests() {
    return Map.copyOf(digests);
  }

  /** Returns the digest of the whole state, which covers every service and its slice. */
  public String digest() {
    StringBuilder text = new StringBuilder();
    digests.forEach((name, digest) -> text.append(name).append(' ').append(digest).append('\n'));
    return ConfigCodec.digest(text.toString().getBytes(StandardCharsets.UTF_8));
  }
}
