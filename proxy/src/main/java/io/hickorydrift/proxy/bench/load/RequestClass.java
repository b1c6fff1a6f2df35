package io.hickorydrift.proxy.bench.load;

/**
 * A kind of request.
 *
 * <p>Thread safety: immutable.
 *
 * @param name its name
 * @param share part of all requests, from 0 to 1
 * @param primaryOnly whether only the primary may run it
 * @param priority 0 is the most urgent
 * @param serviceMs slot time in milliseconds
 * @param objectiveMs time for the full worth, in milliseconds
 * @param deadlineMs time after which an answer is worth nothing, in milliseconds
 * @param utility of an answer within the aim
 * @param lateUtility of a later one
 */
public record RequestClass(
    String name,
    double share,
    boolean primaryOnly,
    int priority,
    double serviceMs,
    double objectiveMs,
    double deadlineMs,
    double utility,
    double lateUtility) {}
