package io.hickorydrift.core.message;

/**
 * Identifies the latest complete snapshot in the store.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param entry last entry included in the snapshot
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
   * Builder of {@code SnapshotHead}. Not thread safe.
   */
  public static final class Builder {
    private long entry;

    private long parts;

    /**
     * Sets {@code entry}: last entry included in the snapshot.
     */
    public Builder entry(long entry) {
      this.entry = entry;
      return this;
    }

    /**
     * Sets {@code parts}: number of parts.
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
