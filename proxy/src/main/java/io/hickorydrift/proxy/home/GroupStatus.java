package io.hickorydrift.proxy.home;

import java.util.List;

/**
 * Status of one group at one of its homes, for the operator status and tests.
 *
 * @param term highest term that this home has observed
 * @param primary primary of that term, or null
 * @param openConnections connections for statements, open or being opened; without control
 *     connections
 * @param suspecting whether this home suspects the primary
 * @param leavingTargets targets that are leaving and get no new requests
 */
public record GroupStatus(
    long term,
    String primary,
    int openConnections,
    boolean suspecting,
    List<String> leavingTargets) {}
