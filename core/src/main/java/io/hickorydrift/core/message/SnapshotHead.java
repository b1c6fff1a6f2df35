package io.hickorydrift.core.message;

/**
 * Names the newest whole snapshot in the store.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param entry entry that it stands for
 * @param parts number of parts
 */
public record SnapshotHead(long entry, long parts) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code SnapshotHead}. Not thread safe.
   */
  public static final class Builder {
    private long entry;

    private long parts;

    /**
     * Sets the entry that it stands for.
     */
    public Builder entry(long entry) {
      this.entry = entry;
      return this;
    }

    /**
     * Sets the number of parts.
     */
    public Builder parts(long parts) {
      this.parts = parts;
      return this;
    }

    /**
     * Returns the record.
     */
    public SnapshotHead build() {
      return new SnapshotHead(entry, parts);
    }
  }
}
