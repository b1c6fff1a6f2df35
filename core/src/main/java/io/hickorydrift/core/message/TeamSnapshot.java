package io.hickorydrift.core.message;

import java.util.List;

/**
 * A team's whole subtree.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param team the team
 * @param revision entry that last changed the subtree
 * @param sections all sections
 */
public record TeamSnapshot(String team, long revision, List<SectionChange> sections) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code TeamSnapshot}. Not thread safe.
   */
  public static final class Builder {
    private String team;

    private long revision;

    private List<SectionChange> sections;

    /**
     * Sets the the team.
     */
    public Builder team(String team) {
      this.team = team;
      return this;
    }

    /**
     * Sets the entry that last changed the subtree.
     */
    public Builder revision(long revision) {
      this.revision = revision;
      return this;
    }

    /**
     * Sets the all sections.
     */
    public Builder sections(List<SectionChange> sections) {
      this.sections = sections;
      return this;
    }

    /**
     * Returns the record.
     */
    public TeamSnapshot build() {
      return new TeamSnapshot(team, revision, sections);
    }
  }
}
