package io.hickorydrift.core.flow;

import java.util.List;

/**
 * What a write asks for.
 *
 * <p>Thread safety: immutable as long as its parameters are.
 *
 * @param organisation organisation that the write runs for
 * @param sql the statement; null claims the request id without running anything
 * @param params values of its parameters
 * @param requestId id under which it takes effect at most once; never null
 * @param deadlineNanos when the caller stops waiting
 */
public record WriteRequest(
    String organisation, String sql, List<Object> params, String requestId, long deadlineNanos) {}
