package io.hickorydrift.standin.target;

import java.util.List;

/**
 * Log entries sent by a primary to a replica. Without entries it is a heartbeat.
 *
 * @param term term of the primary
 * @param primary id of the primary
 * @param previousTerm term of the entry before the first one sent
 * @param previousIndex index of the entry before the first one sent
 * @param entries entries in order
 */
record AppendRequest(
    long term, String primary, long previousTerm, long previousIndex, List<LogEntry> entries) {}
