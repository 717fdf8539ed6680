package org.acaciapond.distribution.update;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.acaciapond.config.snapshot.Scope;
import org.acaciapond.config.version.ConfigCodec;
import org.acaciapond.config.version.ServiceSlice;

/**
 * Immutable configuration content of one scope, without a version.
 *
 * <p>Contents with the same digest are equal, whichever versions they belong to.
 */
public final class ScopedContent {

  /** Content without services. */
  public static final ScopedContent EMPTY = new ScopedContent(Map.of(), Set.of());

  private final SortedMap<String, ServiceSlice> slices;
  private final SortedSet<String> permittedCallers;
  private final String digest;

  /** Creates content from the slices by service name and the permitted callers. */
  public ScopedContent(Map<String, ServiceSlice> slices, Set<String> permittedCallers) {
    this.slices = Collections.unmodifiableSortedMap(new TreeMap<>(slices));
    this.permittedCallers = Collections.unmodifiableSortedSet(new TreeSet<>(permittedCallers));
    this.digest = computeDigest();
  }

  private String computeDigest() {
    StringBuilder text = new StringBuilder();
    slices
        .values()
        .forEach(s -> text.append(s.service()).append(' ').append(s.digest()).append('\n'));
    text.append('\n');
    permittedCallers.forEach(caller -> text.append(caller).append(' '));
    return ConfigCodec.digest(text.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the slices by service name. */
  public SortedMap<String, ServiceSlice> slices() {
    return slices;
  }

  /** Returns the services that may call the scope's own service. */
  public SortedSet<String> permittedCallers() {
    return permittedCallers;
  }

  /** Returns the digest of the slices and the permitted callers. */
  public String digest() {
    return digest;
  }

  /** Returns the scope of a node with this content. */
  public Scope scope(String ownService) {
    return new Scope(ownService, slices.keySet(), permittedCallers);
  }
}
