package io.hickorydrift.proxy.gateway;

/**
 * Why a statement was refused on arrival.
 *
 * <p>Thread safety: immutable.
 *
 * @param predictedWaitMs predicted wait
 * @param waiting number of requests that wait at the target's home
 * @param window maximum number of statements in flight at the target
 * @param retryAfterMs delay after which the caller should retry
 */
record WaitRefusal(long predictedWaitMs, int waiting, int window, long retryAfterMs) {}
