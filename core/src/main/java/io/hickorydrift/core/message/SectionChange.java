package io.hickorydrift.core.message;

import java.util.Map;

/**
 * New content of one section of a team's settings.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param section kind and name, as in the section header of the settings file
 * @param values keys and values; null removes the section
 */
public record SectionChange(String section, Map<String, String> values) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code SectionChange}. Not thread safe.
   */
  public static final class Builder {
    private String section;

    private Map<String, String> values;

    /**
     * Sets {@code section}: kind and name, as in the section header of the settings file.
     */
    public Builder section(String section) {
      this.section = section;
      return this;
    }

    /**
     * Sets {@code values}: keys and values; null removes the section.
     */
    public Builder values(Map<String, String> values) {
      this.values = values;
      return this;
    }

    /**
     * Returns the record.
     */
    public SectionChange build() {
      return new SectionChange(section, values);
    }
  }
}
