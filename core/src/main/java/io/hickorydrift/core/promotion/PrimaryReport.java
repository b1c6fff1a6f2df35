package io.hickorydrift.core.promotion;

/**
 * Report of one instance about the primary of a group.
 *
 * <p>Thread safety: immutable.
 *
 * @param primary id of the primary in the view of the instance, or empty
 * @param unreachableMs time for which the instance has not reached the primary; 0 if it is
 *     reachable
 */
public record PrimaryReport(String primary, long unreachableMs) {}
