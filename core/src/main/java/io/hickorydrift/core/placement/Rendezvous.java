package io.hickorydrift.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: ranks candidates for a key so that adding or removing a candidate leaves the
 * order of the others unchanged.
 *
 * <p>Thread safety: stateless.
 */
public final class Rendezvous {
  private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
  private static final long MIX_2 = 0x94d049bb133111ebL;
  private static final int UNUSED_BITS = 12;
  private static final double HALF = 0.5;

  private Rendezvous() {}

  /** Returns the candidates in descending order of their hash weight for {@code key}. */
  public static <T> List<T> rank(String key, Collection<T> candidates) {
    List<T> ranked = new ArrayList<>(candidates);
    long keyHash = TextHash.of(key);
    ranked.sort(
        Comparator.comparingLong((T candidate) -> weight(keyHash, candidate))
            .reversed()
            .thenComparing(Object::toString));
    return ranked;
  }

  /** Returns a hash of {@code key} and {@code candidate} between 0 and 1, both exclusive. */
  public static double unitHash(String key, String candidate) {
    long bits = weight(TextHash.of(key), candidate) >>> UNUSED_BITS;
    return (bits + HALF) / (1L << (Long.SIZE - UNUSED_BITS));
  }

  /**
   * Returns the score of {@code candidate} for {@code key}: the candidate with the highest score is
   * chosen with a probability in proportion to its weight. A weight of 0 counts as 1.
   */
  public static double weightedScore(String key, String candidate, double weight) {
    return -(weight > 0 ? weight : 1) / Math.log(unitHash(key, candidate));
  }

  private static long weight(long keyHash, Object candidate) {
    return mix(keyHash ^ mix(TextHash.of(candidate.toString())));
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * MIX_1;
    mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
    return mixed ^ (mixed >>> 31);
  }
}
