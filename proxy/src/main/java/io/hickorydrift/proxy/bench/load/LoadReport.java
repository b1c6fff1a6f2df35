package io.hickorydrift.proxy.bench.load;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Results of one simulation, as callers see them.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class LoadReport {
  private static final int MAX_RECORDED_MS = 60_000;

  private final Map<String, double[]> utilityByClass = new HashMap<>();
  private final Map<String, double[]> utilityByOrganisation = new HashMap<>();
  private final Histogram latencyMs = new Histogram(MAX_RECORDED_MS, 2);
  private int requests;
  private int refusals;
  private int connects;
  private int statements;
  private double connectingMs;
  private double servingMs;

  void recordRequest(SimulatedRequest request) {
    requests++;
    utilityByClass.computeIfAbsent(request.requestClass.name(), key -> new double[2])[1] +=
        request.requestClass.utility();
    utilityByOrganisation.computeIfAbsent(request.organisation, key -> new double[2])[1] +=
        request.requestClass.utility();
  }

  void recordAnswer(SimulatedRequest request, double nowMs) {
    double elapsedMs = nowMs - request.firstAttemptMs;
    latencyMs.recordValue(Math.min(MAX_RECORDED_MS, (long) elapsedMs));
    double utility = 0;
    if (elapsedMs <= request.requestClass.objectiveMs()) {
      utility = request.requestClass.utility();
    } else if (elapsedMs <= request.requestClass.deadlineMs()) {
      utility = request.requestClass.lateUtility();
    }
    utilityByClass.get(request.requestClass.name())[0] += utility;
    utilityByOrganisation.get(request.organisation)[0] += utility;
  }

  void recordRefusal() {
    refusals++;
  }

  void recordStatement(double serviceMs, boolean needsConnect, double connectMs) {
    statements++;
    servingMs += serviceMs;
    connects += needsConnect ? 1 : 0;
    connectingMs += needsConnect ? connectMs : 0;
  }

  private static double utilityRatio(Map<String, double[]> utilities, boolean worst) {
    double earned = 0;
    double offered = 0;
    double lowest = 1;
    for (double[] sums : utilities.values()) {
      earned += sums[0];
      offered += sums[1];
      lowest = Math.min(lowest, sums[0] / sums[1]);
    }
    return worst ? lowest : earned / offered;
  }

  /** Returns the earned utility as a fraction of the offered utility. */
  public double utilityRatio() {
    return utilityRatio(utilityByClass, false);
  }

  /** Returns the lowest utility ratio of any request class. */
  public double worstClassRatio() {
    return utilityRatio(utilityByClass, true);
  }

  /** Returns the lowest utility ratio of any organisation. */
  public double worstOrganisationRatio() {
    return utilityRatio(utilityByOrganisation, true);
  }

  /** Returns the lowest utility ratio of any organisation except the largest. */
  public double worstOrganisationRatioWithoutLargest() {
    Map<String, double[]> others = new HashMap<>(utilityByOrganisation);
    others.remove(GroupSimulation.LARGEST_ORGANISATION);
    return utilityRatio(others, true);
  }

  /** Returns the fraction of requests that were finally refused. */
  public double refusedShare() {
    return (double) refusals / requests;
  }

  /** Returns the number of connections opened per statement. */
  public double connectsPerStatement() {
    return (double) connects / Math.max(1, statements);
  }

  /** Returns the fraction of the used slot time that was spent opening connections. */
  public double connectTimeShare() {
    return connectingMs / Math.max(1, connectingMs + servingMs);
  }

  /** Returns the 99th percentile of the answers' latency, in milliseconds. */
  public long p99Ms() {
    return latencyMs.getValueAtPercentile(99);
  }
}
