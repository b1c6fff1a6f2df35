package io.hickorydrift.core.message;

import java.util.List;

/**
 * Complete settings subtree of a team.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param team the team
 * @param revision last entry that changed the subtree
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
   * Builder of {@code TeamSnapshot}. Not thread safe.
   */
  public static final class Builder {
    private String team;

    private long revision;

    private List<SectionChange> sections;

    /**
     * Sets {@code team}: the team.
     */
    public Builder team(String team) {
      this.team = team;
      return this;
    }

    /**
     * Sets {@code revision}: last entry that changed the subtree.
     */
    public Builder revision(long revision) {
      this.revision = revision;
      return this;
    }

    /**
     * Sets {@code sections}: all sections.
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
