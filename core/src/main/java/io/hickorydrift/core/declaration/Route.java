package io.hickorydrift.core.declaration;

import java.util.Set;

/**
 * Settings for the statements on one database.
 *
 * <p>Thread safety: immutable.
 *
 * @param database name that callers open their session with
 * @param group database group that runs its statements
 * @param consistency consistency guarantee of its reads
 * @param statementTimeoutMs timeout of one statement
 * @param objectiveMs latency objective of a whole operation
 * @param priority 0 is the highest
 * @param stalenessBoundMs maximum staleness of the data that its reads see; 0 on routes to the
 *     primary
 * @param allowsAnonymous whether callers without a valid key are admitted
 * @param allowedRegions regions whose targets may run its statements; empty if all may
 */
public record Route(
    String database,
    String group,
    Consistency consistency,
    long statementTimeoutMs,
    long objectiveMs,
    int priority,
    long stalenessBoundMs,
    boolean allowsAnonymous,
    Set<String> allowedRegions) {}
