package io.hickorydrift.core.statement;

/**
 * One statement of a caller.
 *
 * <p>Thread safety: immutable.
 *
 * @param id the caller's id for it, forwarded unchanged
 * @param kind kind of the statement
 * @param text the statement as the caller sent it, forwarded unchanged
 * @param name name of the session value or prepared statement, else empty
 * @param argument text after the name: a value, a query shape, or the arguments of an execution
 * @param writes whether a prepared statement writes; for {@link StatementKind#PREPARE} only
 */
public record Statement(
    String id, StatementKind kind, String text, String name, String argument, boolean writes) {}
