package io.hickorydrift.core.admission;

/**
 * Work that asks to be let in.
 *
 * <p>Thread safety: immutable.
 *
 * @param serviceNanos slot time that it is expected to take
 * @param objectiveLeftNanos time until its aim, not above 0 if that is past
 * @param deadlineLeftNanos time until its deadline
 */
public record Arrival(long serviceNanos, long objectiveLeftNanos, long deadlineLeftNanos) {}
