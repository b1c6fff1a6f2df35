package io.hickorydrift.core.declaration;

/**
 * How statements on one database are served.
 *
 * <p>Thread safety: immutable.
 *
 * @param database name that callers open their session with
 * @param group database group that serves it
 * @param consistency what its reads see
 * @param statementTimeoutMs longest time for one statement
 * @param objectiveMs time in which a whole operation should be answered
 * @param priority 0 is the highest
 * @param maxStalenessMs greatest age of the data that its reads see; 0 on routes to the primary
 * @param allowsAnonymous whether callers without a valid key are served
 */
public record Route(
    String database,
    String group,
    Consistency consistency,
    long statementTimeoutMs,
    long objectiveMs,
    int priority,
    long maxStalenessMs,
    boolean allowsAnonymous) {}
