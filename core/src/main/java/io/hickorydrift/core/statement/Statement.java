package io.hickorydrift.core.statement;

/**
 * One statement of a caller.
 *
 * <p>Thread safety: immutable.
 *
 * @param id the caller's id for it, passed on unchanged
 * @param kind what it asks for
 * @param text the statement as the caller sent it, passed on unchanged
 * @param name value or prepared statement that it names, else empty
 * @param argument what follows the name: a value, a shape, or the arguments of an execution
 * @param writes whether a prepared statement writes; of {@link StatementKind#PREPARE} only
 */
public record Statement(
    String id, StatementKind kind, String text, String name, String argument, boolean writes) {}
