package io.hickorydrift.core.flow;

import java.util.List;

/**
 * Parameters of a write.
 *
 * <p>Thread safety: immutable as long as its parameters are.
 *
 * @param organisation organisation that the write runs for
 * @param sql the statement; null claims the request id without executing anything
 * @param params values of the statement's parameters
 * @param requestId id under which the write takes effect at most once; never null
 * @param deadlineNanos time at which the caller stops waiting
 */
public record WriteRequest(
    String organisation, String sql, List<Object> params, String requestId, long deadlineNanos) {}
