package io.hickorydrift.proxy.bench.load;

import java.util.List;

/**
 * A request load, and the capacity of the group that serves it.
 *
 * <p>Thread safety: immutable.
 *
 * @param name name of the pattern
 * @param requestClasses classes of requests in the load
 * @param organisationCount number of organisations
 * @param zipfExponent Zipf exponent of the organisations' request rates; 0 makes them equal
 * @param requestsPerSecond request rate of all organisations together
 * @param floodFactor factor on the largest organisation's rate during the middle third of the run
 * @param durationSeconds time during which requests arrive
 * @param slotsPerTarget slots of each of the three targets
 * @param connectionsPerTarget maximum number of the home's connections to each target
 * @param connectMs slot time of opening a connection, in milliseconds
 * @param maxRetries maximum number of retries after a refusal
 */
public record LoadPattern(
    String name,
    List<RequestClass> requestClasses,
    int organisationCount,
    double zipfExponent,
    double requestsPerSecond,
    double floodFactor,
    double durationSeconds,
    int slotsPerTarget,
    int connectionsPerTarget,
    double connectMs,
    int maxRetries) {

  // Classes, service times, objectives and deadlines of the collections site's published sheet;
  // the group is one of three and carries a third of the site's load.
  private static final List<RequestClass> COLLECTIONS =
      List.of(
          new RequestClass("post", 0.15, true, 0, 4, 100, 1_500, 2, 0.6),
          new RequestClass("lookup", 0.15, false, 1, 15, 300, 4_000, 1, 0.3),
          new RequestClass("batch", 0.70, false, 2, 9, 200, 1_500, 2, 0.3));

  /** Returns a normal load, a third of the slots' capacity. */
  public static LoadPattern normalLoad() {
    return new LoadPattern("calm", COLLECTIONS, 8, 1, 200, 1, 30, 2, 20, 27, 2);
  }

  /** Returns a load above the slots' capacity throughout the run. */
  public static LoadPattern overload() {
    return new LoadPattern("overload", COLLECTIONS, 8, 1, 900, 1, 30, 2, 20, 27, 2);
  }

  /** Returns a load in which one organisation sends many times its usual rate. */
  public static LoadPattern flood() {
    return new LoadPattern("flood", COLLECTIONS, 8, 1, 300, 7.5, 30, 2, 20, 27, 2);
  }

  /** Returns a load of many more organisations than connections. */
  public static LoadPattern manyOrganisations() {
    return new LoadPattern("many organisations", COLLECTIONS, 78, 1, 240, 1, 40, 2, 24, 27, 2);
  }

  /** Returns all patterns. */
  public static List<LoadPattern> all() {
    return List.of(normalLoad(), overload(), flood(), manyOrganisations());
  }
}
