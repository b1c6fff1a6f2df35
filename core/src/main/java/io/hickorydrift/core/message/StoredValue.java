package io.hickorydrift.core.message;

/**
 * Versioned value in the key-value service.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param key key of the value
 * @param value content of the value
 * @param version version of the key, at least 1; increases with each change
 */
public record StoredValue(String key, String value, long version) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code StoredValue}. Not thread safe.
   */
  public static final class Builder {
    private String key;

    private String value;

    private long version;

    /**
     * Sets {@code key}: key of the value.
     */
    public Builder key(String key) {
      this.key = key;
      return this;
    }

    /**
     * Sets {@code value}: content of the value.
     */
    public Builder value(String value) {
      this.value = value;
      return this;
    }

    /**
     * Sets {@code version}: version of the key, at least 1; increases with each change.
     */
    public Builder version(long version) {
      this.version = version;
      return this;
    }

    /**
     * Returns the record.
     */
    public StoredValue build() {
      return new StoredValue(key, value, version);
    }
  }
}
