package io.hickorydrift.core.message;

/**
 * Says that the sender's last heartbeat still holds.
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
   * Builds a {@code Alive}. Not thread safe.
   */
  public static final class Builder {
    private long configEntry;

    /**
     * Sets the last configuration entry in force at the sender.
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
