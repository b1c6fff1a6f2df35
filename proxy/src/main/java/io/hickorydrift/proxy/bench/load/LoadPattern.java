package io.hickorydrift.proxy.bench.load;

import java.util.List;

/**
 * A load and the group that it meets at a home.
 *
 * <p>Thread safety: immutable.
 *
 * @param name its name
 * @param requestClasses of requests
 * @param organisationCount how many there are
 * @param zipfExponent exponent of their sizes by rank; 0 makes them equal
 * @param requestsPerSecond requests a second in all
 * @param floodFactor how many times its usual the largest organisation sends in the middle third
 * @param durationSeconds how long requests arrive
 * @param slotsPerTarget of each of the three targets
 * @param connectionsPerTarget that the home may have to each target
 * @param connectMs slot time of a new connection, in milliseconds
 * @param maxRetries that a caller makes after a refusal
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

  // Kinds, work, aims and deadlines as the published sheet of the collections site has them, a
  // third of its load for one of three groups.
  private static final List<RequestClass> COLLECTIONS =
      List.of(
          new RequestClass("post", 0.15, true, 0, 4, 100, 1_500, 2, 0.6),
          new RequestClass("lookup", 0.15, false, 1, 15, 300, 4_000, 1, 0.3),
          new RequestClass("batch", 0.70, false, 2, 9, 200, 1_500, 2, 0.3));

  /** A usual day: a third of what the slots can do. */
  public static LoadPattern normalLoad() {
    return new LoadPattern("calm", COLLECTIONS, 8, 1, 200, 1, 30, 2, 20, 27, 2);
  }

  /** More than the slots can do, for all of it. */
  public static LoadPattern overload() {
    return new LoadPattern("overload", COLLECTIONS, 8, 1, 900, 1, 30, 2, 20, 27, 2);
  }

  /** One organisation sends many times its usual. */
  public static LoadPattern flood() {
    return new LoadPattern("flood", COLLECTIONS, 8, 1, 300, 7.5, 30, 2, 20, 27, 2);
  }

  /** Many more organisations than connections. */
  public static LoadPattern manyOrganisations() {
    return new LoadPattern("many organisations", COLLECTIONS, 78, 1, 240, 1, 40, 2, 24, 27, 2);
  }

  /** Returns all patterns. */
  public static List<LoadPattern> all() {
    return List.of(normalLoad(), overload(), flood(), manyOrganisations());
  }
}
