package io.hickorydrift.core.message;

import java.util.List;

/**
 * One part of all teams' settings at a configuration entry, in place of the entries up to it.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param entry entry that the snapshot stands for
 * @param part number of this part, from 0
 * @param parts number of parts
 * @param teams teams, or pieces of them, in this part
 */
public record ConfigSnapshot(long entry, long part, long parts, List<TeamSnapshot> teams) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code ConfigSnapshot}. Not thread safe.
   */
  public static final class Builder {
    private long entry;

    private long part;

    private long parts;

    private List<TeamSnapshot> teams;

    /**
     * Sets the entry that the snapshot stands for.
     */
    public Builder entry(long entry) {
      this.entry = entry;
      return this;
    }

    /**
     * Sets the number of this part, from 0.
     */
    public Builder part(long part) {
      this.part = part;
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
     * Sets the teams, or pieces of them, in this part.
     */
    public Builder teams(List<TeamSnapshot> teams) {
      this.teams = teams;
      return this;
    }

    /**
     * Returns the record.
     */
    public ConfigSnapshot build() {
      return new ConfigSnapshot(entry, part, parts, teams);
    }
  }
}
