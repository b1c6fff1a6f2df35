package io.hickorydrift.core.message;

/**
 * Confirms that the sender's last heartbeat is still valid.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param configEntry last configuration entry in force at the sender
 */
public record Alive(long configEntry) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code Alive}. Not thread safe.
   */
  public static final class Builder {
    private long configEntry;

    /**
     * Sets {@code configEntry}: last configuration entry in force at the sender.
     */
    public Builder configEntry(long configEntry) {
      this.configEntry = configEntry;
      return this;
    }

    /**
     * Returns the record.
     */
    public Alive build() {
      return new Alive(configEntry);
    }
  }
}
