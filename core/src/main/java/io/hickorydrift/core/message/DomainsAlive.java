package io.hickorydrift.core.message;

import java.util.List;

/**
 * Says that digests sent before still hold.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param marks marks of those digests
 */
public record DomainsAlive(List<DigestMark> marks) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code DomainsAlive}. Not thread safe.
   */
  public static final class Builder {
    private List<DigestMark> marks;

    /**
     * Sets the marks of those digests.
     */
    public Builder marks(List<DigestMark> marks) {
      this.marks = marks;
      return this;
    }

    /**
     * Returns the record.
     */
    public DomainsAlive build() {
      return new DomainsAlive(marks);
    }
  }
}
