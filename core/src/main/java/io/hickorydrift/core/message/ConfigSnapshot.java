package io.hickorydrift.core.message;

import java.util.List;

/**
 * One part of a snapshot of all teams' settings at a configuration entry. Replaces the entries up to and including that one.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param entry last entry included in the snapshot
 * @param part number of this part, from 0
 * @param parts number of parts
 * @param teams teams, or subsets of their sections, in this part
 */
public record ConfigSnapshot(long entry, long part, long parts, List<TeamSnapshot> teams) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code ConfigSnapshot}. Not thread safe.
   */
  public static final class Builder {
    private long entry;

    private long part;

    private long parts;

    private List<TeamSnapshot> teams;

    /**
     * Sets {@code entry}: last entry included in the snapshot.
     */
    public Builder entry(long entry) {
      this.entry = entry;
      return this;
    }

    /**
     * Sets {@code part}: number of this part, from 0.
     */
    public Builder part(long part) {
      this.part = part;
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
     * Sets {@code teams}: teams, or subsets of their sections, in this part.
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
