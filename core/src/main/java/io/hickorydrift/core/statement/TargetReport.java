package io.hickorydrift.core.statement;

import io.hickorydrift.core.message.Position;

/**
 * What a target reports of itself.
 *
 * <p>Thread safety: immutable.
 *
 * @param primary whether it leads
 * @param term the newest term that it knows of
 * @param received last position in its log, applied or not
 * @param lagMs how far applying is behind receiving, in milliseconds
 * @param busySlots statements that run or wait
 * @param connections open connections, of all callers
 */
public record TargetReport(
    boolean primary, long term, Position received, long lagMs, int busySlots, int connections) {}
