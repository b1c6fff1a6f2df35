package io.hickorydrift.core.message;

import java.util.List;

/**
 * One accepted change of settings. Entries are immutable and numbered from 1 without gaps.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param number number of the entry in the log
 * @param team team whose subtree changes
 * @param baseRevision last entry that had changed the subtree when the change was made
 * @param changeId id chosen by the operator's command to identify its own entry
 * @param changes sections set or removed
 */
public record ConfigEntry(long number, String team, long baseRevision, String changeId,
    List<SectionChange> changes) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code ConfigEntry}. Not thread safe.
   */
  public static final class Builder {
    private long number;

    private String team;

    private long baseRevision;

    private String changeId;

    private List<SectionChange> changes;

    /**
     * Sets {@code number}: number of the entry in the log.
     */
    public Builder number(long number) {
      this.number = number;
      return this;
    }

    /**
     * Sets {@code team}: team whose subtree changes.
     */
    public Builder team(String team) {
      this.team = team;
      return this;
    }

    /**
     * Sets {@code baseRevision}: last entry that had changed the subtree when the change was made.
     */
    public Builder baseRevision(long baseRevision) {
      this.baseRevision = baseRevision;
      return this;
    }

    /**
     * Sets {@code changeId}: id chosen by the operator's command to identify its own entry.
     */
    public Builder changeId(String changeId) {
      this.changeId = changeId;
      return this;
    }

    /**
     * Sets {@code changes}: sections set or removed.
     */
    public Builder changes(List<SectionChange> changes) {
      this.changes = changes;
      return this;
    }

    /**
     * Returns the record.
     */
    public ConfigEntry build() {
      return new ConfigEntry(number, team, baseRevision, changeId, changes);
    }
  }
}
