package org.acaciapond.mesh.limit;

import java.util.ArrayList;
import java.util.List;

/** Tokens of one limit at one node, in the order of their production. */
final class TokenStock {

  /** One token in the unit in which tokens are counted. */
  static final long TOKEN = 1_000_000L;

  private static final int SLOTS_PER_LIFETIME = 16;
  private static final int MAX_PORTIONS = 4;

  private final List<Batch> batches = new ArrayList<>();
  private long total;

  /** Tokens with the production time of the oldest one. */
  private static final class Batch {
    final long producedNanos;
    long amount;

    Batch(long producedNanos, long amount) {
      this.producedNanos = producedNanos;
      this.amount = amount;
    }
  }

  long total() {
    return total;
  }

  void clear() {
    batches.clear();
    total = 0;
  }

  /** Adds tokens; those of nearly the same age are kept together as of the oldest age. */
  void add(long producedNanos, long amount, long lifetimeNanos) {
    if (amount <= 0) {
      return;
    }
    total += amount;
    int index = batches.size();
    while (index > 0 && batches.get(index - 1).producedNanos - producedNanos > 0) {
      index--;
    }
    long slotNanos = lifetimeNanos / SLOTS_PER_LIFETIME;
    if (index > 0 && producedNanos - batches.get(index - 1).producedNanos <= slotNanos) {
      batches.get(index - 1).amount += amount;
    } else {
      batches.add(index, new Batch(producedNanos, amount));
    }
  }

  /** Removes the tokens that were produced at or before a time. */
  void expire(long expiryNanos) {
    int expired = 0;
    while (expired < batches.size() && batches.get(expired).producedNanos - expiryNanos <= 0) {
      total -= batches.get(expired).amount;
      expired++;
    }
    batches.subList(0, expired).clear();
  }

  /** Removes all tokens beyond a share, which is less than 1. */
  void scale(double share) {
    total = 0;
    for (Batch batch : batches) {
      batch.amount = (long) (batch.amount * share);
      total += batch.amount;
    }
  }

  /** Takes one token; returns the production time of its oldest part. */
  long takeOne() {
    long producedNanos = batches.get(0).producedNanos;
    remove(TOKEN);
    return producedNanos;
  }

  /** Takes an amount that is in stock; returns it in few portions. */
  List<Portion> take(long amount, long nowNanos) {
    List<Portion> portions = new ArrayList<>();
    long perPortion = Math.max(1, (amount + MAX_PORTIONS - 1) / MAX_PORTIONS);
    long left = amount;
    while (left > 0) {
      long part = Math.min(left, perPortion);
      int ageMs = (int) ((nowNanos - batches.get(0).producedNanos) / 1_000_000) + 1;
      remove(part);
      portions.add(new Portion(part, ageMs));
      left -= part;
    }
    return portions;
  }

  private void remove(long amount) {
    long left = amount;
    int used = 0;
    while (left > 0) {
      Batch batch = batches.get(used);
      long part = Math.min(left, batch.amount);
      batch.amount -= part;
      left -= part;
      if (batch.amount == 0) {
        used++;
      }
    }
    batches.subList(0, used).clear();
    total -= amount;
  }
}
