package io.hickorydrift.proxy.bench.load;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What callers got in a run of the model.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class LoadReport {
  private static final int LONGEST_MS = 60_000;

  private final Map<String, double[]> byKind = new HashMap<>();
  private final Map<String, double[]> byOrganisation = new HashMap<>();
  private final Histogram answeredMs = new Histogram(LONGEST_MS, 2);
  private int asked;
  private int refused;
  private int opened;
  private int sent;
  private double openingMs;
  private double workingMs;

  void recordRequest(SimulatedRequest request) {
    asked++;
    byKind.computeIfAbsent(request.requestClass.name(), key -> new double[2])[1] +=
        request.requestClass.utility();
    byOrganisation.computeIfAbsent(request.organisation, key -> new double[2])[1] +=
        request.requestClass.utility();
  }

  void recordAnswer(SimulatedRequest request, double nowMs) {
    double tookMs = nowMs - request.firstAttemptMs;
    answeredMs.recordValue(Math.min(LONGEST_MS, (long) tookMs));
    double worth = 0;
    if (tookMs <= request.requestClass.objectiveMs()) {
      worth = request.requestClass.utility();
    } else if (tookMs <= request.requestClass.deadlineMs()) {
      worth = request.requestClass.lateUtility();
    }
    byKind.get(request.requestClass.name())[0] += worth;
    byOrganisation.get(request.organisation)[0] += worth;
  }

  void recordRefusal() {
    refused++;
  }

  void recordStatement(double workMs, boolean opens, double openMs) {
    sent++;
    workingMs += workMs;
    opened += opens ? 1 : 0;
    openingMs += opens ? openMs : 0;
  }

  private static double share(Map<String, double[]> parts, boolean worst) {
    double got = 0;
    double owed = 0;
    double least = 1;
    for (double[] part : parts.values()) {
      got += part[0];
      owed += part[1];
      least = Math.min(least, part[0] / part[1]);
    }
    return worst ? least : got / owed;
  }

  /** Returns worth earned of worth asked for. */
  public double utilityRatio() {
    return share(byKind, false);
  }

  /** Returns the same of the worst-served kind. */
  public double worstClassRatio() {
    return share(byKind, true);
  }

  /** Returns the same of the worst-served organisation. */
  public double worstOrganisationRatio() {
    return share(byOrganisation, true);
  }

  /** Returns the same of the worst-served organisation but the largest. */
  public double worstOrganisationRatioWithoutLargest() {
    Map<String, double[]> small = new HashMap<>(byOrganisation);
    small.remove(GroupSimulation.LARGEST_ORGANISATION);
    return share(small, true);
  }

  /** Returns the share of requests refused for good. */
  public double refusedShare() {
    return (double) refused / asked;
  }

  /** Returns new connections for each statement sent. */
  public double connectsPerStatement() {
    return (double) opened / Math.max(1, sent);
  }

  /** Returns the part of used slot time that went into opening connections. */
  public double connectTimeShare() {
    return openingMs / Math.max(1, openingMs + workingMs);
  }

  /** Returns the time within which 99% of the answers came, in milliseconds. */
  public long p99Ms() {
    return answeredMs.getValueAtPercentile(99);
  }
}
