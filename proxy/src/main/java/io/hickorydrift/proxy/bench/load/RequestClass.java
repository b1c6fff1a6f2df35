package io.hickorydrift.proxy.bench.load;

/**
 * A class of requests with the same cost, priority and time-utility function.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name of the class
 * @param share fraction of all requests, from 0 to 1
 * @param primaryOnly whether only the primary may run these requests
 * @param priority priority; 0 is the most urgent
 * @param serviceMs slot time of a request, in milliseconds
 * @param objectiveMs time within which an answer has its full utility, in milliseconds
 * @param deadlineMs time after which an answer has no utility, in milliseconds
 * @param utility utility of an answer within the objective
 * @param lateUtility utility of an answer after the objective and within the deadline
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
