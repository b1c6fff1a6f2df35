package io.hickorydrift.core.admission;

/**
 * Work that requests admission.
 *
 * <p>Thread safety: immutable.
 *
 * @param serviceNanos slot time that the work is expected to take
 * @param objectiveLeftNanos time until its latency objective, 0 or less if that is past
 * @param deadlineLeftNanos time until its deadline
 */
public record Arrival(long serviceNanos, long objectiveLeftNanos, long deadlineLeftNanos) {}
