package io.hickorydrift.core.message;

/**
 * Asks a peer for configuration entries.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param firstEntry number of the first entry wanted
 */
public record ConfigRequest(long firstEntry) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code ConfigRequest}. Not thread safe.
   */
  public static final class Builder {
    private long firstEntry;

    /**
     * Sets the number of the first entry wanted.
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
