package io.hickorydrift.proxy.home;

import java.util.List;

/**
 * What a home knows of one group, for status and tests.
 *
 * @param term current term
 * @param primary primary of that term, or null
 * @param openConnections open connections for statements
 * @param suspecting whether this home suspects the primary
 * @param leavingTargets targets that get no new work
 */
public record GroupStatus(
    long term,
    String primary,
    int openConnections,
    boolean suspecting,
    List<String> leavingTargets) {}
