package io.hickorydrift.core.message;

/**
 * A value of the key-value service.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param key its key
 * @param value its content
 * @param version rises with each change of the key, from 1
 */
public record StoredValue(String key, String value, long version) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code StoredValue}. Not thread safe.
   */
  public static final class Builder {
    private String key;

    private String value;

    private long version;

    /**
     * Sets the its key.
     */
    public Builder key(String key) {
      this.key = key;
      return this;
    }

    /**
     * Sets the its content.
     */
    public Builder value(String value) {
      this.value = value;
      return this;
    }

    /**
     * Sets the rises with each change of the key, from 1.
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
