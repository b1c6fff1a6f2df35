package io.hickorydrift.standin.target;

import java.util.List;

/**
 * Entries on their way from a primary to a replica; without entries a sign of life.
 *
 * @param term term of the primary
 * @param primary id of the primary
 * @param previousTerm term of the entry before the first one sent
 * @param previousIndex index of the entry before the first one sent
 * @param entries entries in order
 */
record AppendRequest(
    long term, String primary, long previousTerm, long previousIndex, List<LogEntry> entries) {}
