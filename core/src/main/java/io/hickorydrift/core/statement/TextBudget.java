package io.hickorydrift.core.statement;

/**
 * The memory that the values and prepared statements of all sessions of an instance may occupy.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class TextBudget {
  private final long maxBytes;
  private long usedBytes;

  /** Creates a budget of {@code maxBytes}. */
  public TextBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes {@code bytes}, or gives them back if negative. Returns false if too few are left. */
  boolean tryTake(long bytes) {
    if (bytes > 0 && usedBytes + bytes > maxBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Returns how much is taken. */
  public long usedBytes() {
    return usedBytes;
  }
}
