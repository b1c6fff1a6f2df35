package io.hickorydrift.core.directory;

/**
 * What a target says of itself.
 *
 * <p>Thread safety: immutable.
 *
 * @param id its id, which a target keeps over restarts
 * @param group the group it serves
 * @param address host and port
 * @param failureDomain where it stands
 * @param slots statements that it runs at once
 * @param draining whether it is about to leave
 * @param primary whether it believes that it leads its group
 * @param startedAtMs time of its start, in milliseconds since 1970; tells restarts under one id
 *     apart
 */
public record TargetEntry(
    String id,
    String group,
    String address,
    String failureDomain,
    int slots,
    boolean draining,
    boolean primary,
    long startedAtMs) {}
