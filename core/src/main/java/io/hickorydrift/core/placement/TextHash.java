package io.hickorydrift.core.placement;

/**
 * 64-bit FNV-1a hash of texts. It is the same in all processes and versions, so that hashes can be
 * compared between instances.
 *
 * <p>Thread safety: stateless.
 */
public final class TextHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private TextHash() {}

  /** Returns the hash of {@code text}. */
  public static long of(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
