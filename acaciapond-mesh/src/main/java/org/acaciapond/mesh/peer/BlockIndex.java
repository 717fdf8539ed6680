package org.acaciapond.mesh.peer;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/** Index of the blocks of a value by their hash, to find ranges that another value repeats. */
final class BlockIndex {

  static final int BLOCK_BYTES = 32;

  private static final int NONE = -1;
  private static final int HASH_FACTOR = 31;
  // Limits the comparisons for blocks that occur often.
  private static final int MAX_CANDIDATES = 16;

  private final byte[] base;
  private final int[] firstBlock;
  private final int[] nextBlock;
  private final int leadingFactor;
  private int rollingHash;
  private int rollingPosition = NONE;

  /** Range of a value that equals a range of the base. */
  record Match(int valueFrom, int baseFrom, int length) {}

  BlockIndex(byte[] base) {
    this.base = base;
    int blocks = base.length / BLOCK_BYTES;
    this.firstBlock = new int[Integer.highestOneBit(Math.max(1, blocks)) * 4];
    this.nextBlock = new int[blocks];
    Arrays.fill(firstBlock, NONE);
    for (int block = blocks - 1; block >= 0; block--) {
      int bucket = bucket(hash(base, block * BLOCK_BYTES));
      nextBlock[block] = firstBlock[bucket];
      firstBlock[bucket] = block;
    }
    int factor = 1;
    for (int i = 1; i < BLOCK_BYTES; i++) {
      factor *= HASH_FACTOR;
    }
    this.leadingFactor = factor;
  }

  /**
   * Returns the longest match that contains the block of the value at a position, or null.
   *
   * @param lowest first position of the value to which the match may extend backwards
   */
  @Nullable Match longestMatch(byte[] value, int position, int lowest) {
    updateRollingHash(value, position);
    Match longest = null;
    int block = firstBlock[bucket(rollingHash)];
    for (int i = 0; i < MAX_CANDIDATES && block != NONE; i++) {
      Match match = extend(value, position, block * BLOCK_BYTES, lowest);
      if (match != null && (longest == null || match.length() > longest.length())) {
        longest = match;
      }
      block = nextBlock[block];
    }
    return longest;
  }

  private @Nullable Match extend(byte[] value, int position, int basePosition, int lowest) {
    int length = commonPrefix(value, position, basePosition);
    if (length < BLOCK_BYTES) {
      return null;
    }
    int back = 0;
    while (position - back > lowest
        && basePosition - back > 0
        && value[position - back - 1] == base[basePosition - back - 1]) {
      back++;
    }
    return new Match(position - back, basePosition - back, length + back);
  }

  private int commonPrefix(byte[] value, int position, int basePosition) {
    int mismatch = Arrays.mismatch(value, position, value.length, base, basePosition, base.length);
    return mismatch < 0 ? value.length - position : mismatch;
  }

  private void updateRollingHash(byte[] value, int position) {
    if (position == rollingPosition + 1 && position > 0) {
      rollingHash =
          (rollingHash - value[position - 1] * leadingFactor) * HASH_FACTOR
              + value[position + BLOCK_BYTES - 1];
    } else {
      rollingHash = hash(value, position);
    }
    rollingPosition = position;
  }

  private static int hash(byte[] bytes, int from) {
    int hash = 0;
    for (int i = from; i < from + BLOCK_BYTES; i++) {
      hash = hash * HASH_FACTOR + bytes[i];
    }
    return hash;
  }

  private int bucket(int hash) {
    return (hash ^ hash >>> 15) & firstBlock.length - 1;
  }
}
