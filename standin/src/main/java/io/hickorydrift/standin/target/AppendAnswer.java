package io.hickorydrift.standin.target;

/**
 * A replica's answer to an append.
 *
 * @param accepted whether the entries are in the log now
 * @param term highest term that the replica has accepted
 * @param lastIndex last index of its log
 */
record AppendAnswer(boolean accepted, long term, long lastIndex) {}
