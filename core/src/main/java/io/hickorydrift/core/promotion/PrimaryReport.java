package io.hickorydrift.core.promotion;

/**
 * What one instance says of a primary.
 *
 * <p>Thread safety: immutable.
 *
 * @param primary id of the primary that it believes in, or empty
 * @param unreachableMs how long it has not been able to reach it; 0 if it can
 */
public record PrimaryReport(String primary, long unreachableMs) {}
