package io.hickorydrift.core.message;

import java.util.List;

/**
 * Configuration entries in order, without gaps.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param entries the entries
 */
public record ConfigEntries(List<ConfigEntry> entries) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code ConfigEntries}. Not thread safe.
   */
  public static final class Builder {
    private List<ConfigEntry> entries;

    /**
     * Sets {@code entries}: the entries.
     */
    public Builder entries(List<ConfigEntry> entries) {
      this.entries = entries;
      return this;
    }

    /**
     * Returns the record.
     */
    public ConfigEntries build() {
      return new ConfigEntries(entries);
    }
  }
}
