package io.hickorydrift.core.message;

/**
 * Requests configuration entries from a peer.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param firstEntry number of the first requested entry
 */
public record ConfigRequest(long firstEntry) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code ConfigRequest}. Not thread safe.
   */
  public static final class Builder {
    private long firstEntry;

    /**
     * Sets {@code firstEntry}: number of the first requested entry.
     */
    public Builder firstEntry(long firstEntry) {
      this.firstEntry = firstEntry;
      return this;
    }

    /**
     * Returns the record.
     */
    public ConfigRequest build() {
      return new ConfigRequest(firstEntry);
    }
  }
}
