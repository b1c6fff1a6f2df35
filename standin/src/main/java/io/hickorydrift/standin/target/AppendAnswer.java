package io.hickorydrift.standin.target;

/**
 * Answer of a replica to an {@link AppendRequest}.
 *
 * @param accepted whether the replica's log now contains the entries
 * @param term highest term that the replica has accepted
 * @param lastIndex index of the last entry in the replica's log
 */
record AppendAnswer(boolean accepted, long term, long lastIndex) {}
