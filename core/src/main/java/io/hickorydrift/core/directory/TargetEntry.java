package io.hickorydrift.core.directory;

/**
 * Entry by which a target registers itself.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of the target, kept across restarts
 * @param group database group that it belongs to
 * @param address host and port
 * @param failureDomain failure domain that it runs in
 * @param slots number of statements that it runs concurrently
 * @param draining whether it is shutting down and takes no new work
 * @param primary whether it reports itself as the primary of its group
 * @param startedAtMs time of its start, in milliseconds since 1970; distinguishes restarts under
 *     one id
 * @param sequence number of the entry, which rises with each write of the target since its start
 * @param coldRemainingMs how much longer the target stays slow after its start, as of the writing
 *     of the entry; 0 if it is not
 */
public record TargetEntry(
    String id,
    String group,
    String address,
    String failureDomain,
    int slots,
    boolean draining,
    boolean primary,
    long startedAtMs,
    long sequence,
    long coldRemainingMs) {
  /** Creates the entry of a target that is not slow after its start. */
  public TargetEntry(
      String id,
      String group,
      String address,
      String failureDomain,
      int slots,
      boolean draining,
      boolean primary,
      long startedAtMs,
      long sequence) {
    this(id, group, address, failureDomain, slots, draining, primary, startedAtMs, sequence, 0);
  }

  /** Returns whether {@code other} is an entry of the same target since the same start. */
  boolean isOfSameStart(TargetEntry other) {
    return id.equals(other.id) && startedAtMs == other.startedAtMs;
  }

  /** Returns whether the target wrote this entry before {@code other}. */
  public boolean isOlderThan(TargetEntry other) {
    return startedAtMs < other.startedAtMs
        || startedAtMs == other.startedAtMs && sequence < other.sequence;
  }

  /**
   * Returns whether this entry says the same as {@code other}. The remaining time of a target that
   * is slow after its start runs down with each entry; that alone is not news.
   */
  public boolean differsOnlyInSequence(TargetEntry other) {
    return equals(other.at(sequence, coldRemainingMs));
  }

  private TargetEntry at(long newSequence, long newColdRemainingMs) {
    return new TargetEntry(
        id,
        group,
        address,
        failureDomain,
        slots,
        draining,
        primary,
        startedAtMs,
        newSequence,
        newColdRemainingMs);
  }
}
