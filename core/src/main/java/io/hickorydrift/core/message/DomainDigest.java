package io.hickorydrift.core.message;

import java.util.List;

/**
 * Live instances of one failure domain, exchanged between domains by relays.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param failureDomain the domain
 * @param mark changes with every change of the members
 * @param members last heartbeat of each instance
 */
public record DomainDigest(String failureDomain, long mark, List<Heartbeat> members) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code DomainDigest}. Not thread safe.
   */
  public static final class Builder {
    private String failureDomain;

    private long mark;

    private List<Heartbeat> members;

    /**
     * Sets {@code failureDomain}: the domain.
     */
    public Builder failureDomain(String failureDomain) {
      this.failureDomain = failureDomain;
      return this;
    }

    /**
     * Sets {@code mark}: changes with every change of the members.
     */
    public Builder mark(long mark) {
      this.mark = mark;
      return this;
    }

    /**
     * Sets {@code members}: last heartbeat of each instance.
     */
    public Builder members(List<Heartbeat> members) {
      this.members = members;
      return this;
    }

    /**
     * Returns the record.
     */
    public DomainDigest build() {
      return new DomainDigest(failureDomain, mark, members);
    }
  }
}
