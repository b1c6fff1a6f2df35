package io.hickorydrift.proxy.bench.load;

import io.hickorydrift.core.admission.AdmissionPolicy;
import io.hickorydrift.core.admission.Arrival;
import io.hickorydrift.core.admission.Backlog;
import io.hickorydrift.core.admission.PriorityFairQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Discrete-event simulation of one home that serves a primary and two replicas. Arrivals are drawn
 * from a seeded random source; the same seed gives the same arrivals under all policies.
 *
 * <p>Thread safety: confined to one thread; each simulation runs once.
 */
public final class GroupSimulation {
  /** Organisation with the highest request rate; it also sends the flood. */
  static final String LARGEST_ORGANISATION = "o1";

  private static final int TARGETS = 3;
  private static final double MS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MS = 1e6;
  // Network round trip between a caller and the home.
  private static final double ROUND_TRIP_MS = 4;
  // Cost in statements in flight per slot: a read goes to the primary only if each available
  // replica
  // has over twice its slots more statements in flight than the primary.
  private static final double PRIMARY_COST_PENALTY = 2;
  private static final double ROUNDING_ERROR_MS = 1e-6;

  private record Event(double atMs, long number, Runnable action) {}

  private final LoadPattern pattern;
  private final SchedulingPolicy policy;
  private final LoadReport report = new LoadReport();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble((Event event) -> event.atMs())
              .thenComparingLong(Event::number));
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final AdmissionPolicy admission;
  private final PriorityFairQueue<SimulatedRequest> primaryQueue = new PriorityFairQueue<>();
  private final PriorityFairQueue<SimulatedRequest> anyTargetQueue = new PriorityFairQueue<>();
  private final Map<String, Double> queuedMsByOrganisation = new HashMap<>();
  private double queuedMs;
  private double nowMs;
  private long nextEventNumber;

  private GroupSimulation(LoadPattern pattern, SchedulingPolicy policy) {
    this.pattern = pattern;
    this.policy = policy;
    admission = policy.admission().get();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(
          new SimulatedTarget(
              pattern.slotsPerTarget(),
              pattern.connectionsPerTarget(),
              policy.evictionPolicy().newEvictor()));
    }
  }

  /** Simulates {@code pattern} under {@code policy} and returns its report. */
  public static LoadReport run(LoadPattern pattern, SchedulingPolicy policy, long seed) {
    GroupSimulation simulation = new GroupSimulation(pattern, policy);
    simulation.scheduleArrivals(seed);
    simulation.runEvents();
    return simulation.report;
  }

  /**
   * Returns an upper bound of the utility ratio of any scheduler with these slots. Request classes
   * fill the slots in descending order of utility per slot time, as if requests were divisible and
   * never queued.
   */
  public static double utilityBound(LoadPattern pattern) {
    List<RequestClass> byUtilityPerSlotTime = new ArrayList<>(pattern.requestClasses());
    byUtilityPerSlotTime.sort(
        Comparator.comparingDouble(
            requestClass -> -requestClass.utility() / requestClass.serviceMs()));
    double loadFactor = pattern.floodFactor() > 1 ? floodLoadFactor(pattern) : 1;
    double slotMsLeft = TARGETS * pattern.slotsPerTarget() * MS_PER_SECOND;
    double earned = 0;
    double offered = 0;
    for (RequestClass requestClass : byUtilityPerSlotTime) {
      double requestsPerSecond = requestClass.share() * pattern.requestsPerSecond() * loadFactor;
      double served = Math.min(requestsPerSecond, slotMsLeft / requestClass.serviceMs());
      slotMsLeft -= served * requestClass.serviceMs();
      earned += served * requestClass.utility();
      offered += requestsPerSecond * requestClass.utility();
    }
    return earned / offered;
  }

  private static double floodLoadFactor(LoadPattern pattern) {
    double sum = 0;
    for (int rank = 1; rank <= pattern.organisationCount(); rank++) {
      sum += Math.pow(rank, -pattern.zipfExponent());
    }
    return 1 + (pattern.floodFactor() - 1) / sum / 3;
  }

  private void scheduleArrivals(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    DiscreteSampler organisation =
        RejectionInversionZipfSampler.of(
            random, pattern.organisationCount(), Math.max(pattern.zipfExponent(), 1e-6));
    ContinuousSampler interval =
        ZigguratSampler.Exponential.of(random, MS_PER_SECOND / pattern.requestsPerSecond());
    double endMs = pattern.durationSeconds() * MS_PER_SECOND;
    for (double atMs = interval.sample(); atMs < endMs; atMs += interval.sample()) {
      int rank = organisation.sample();
      RequestClass requestClass = drawRequestClass(random.nextDouble());
      boolean flooding = rank == 1 && atMs > endMs / 3 && atMs < endMs * 2 / 3;
      int copies = flooding ? (int) Math.floor(pattern.floodFactor() + random.nextDouble()) : 1;
      for (int i = 0; i < copies; i++) {
        SimulatedRequest request = new SimulatedRequest(requestClass, "o" + rank, atMs);
        schedule(atMs, () -> arrive(request));
      }
    }
  }

  private RequestClass drawRequestClass(double quantile) {
    double sum = 0;
    for (RequestClass requestClass : pattern.requestClasses()) {
      sum += requestClass.share();
      if (quantile < sum) {
        return requestClass;
      }
    }
    return pattern.requestClasses().get(pattern.requestClasses().size() - 1);
  }

  private void schedule(double atMs, Runnable action) {
    events.add(new Event(atMs, nextEventNumber++, action));
  }

  private void runEvents() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
  }

  private void arrive(SimulatedRequest request) {
    if (request.attempts == 0) {
      report.recordRequest(request);
    }
    request.attempts++;
    double backlogMs = queuedMs;
    for (SimulatedTarget target : targets) {
      backlogMs += target.pendingMs();
    }
    Arrival arrival =
        new Arrival(
            toNanos(request.requestClass.serviceMs()),
            toNanos(request.firstAttemptMs + request.requestClass.objectiveMs() - nowMs),
            toNanos(request.deadlineMs() - nowMs));
    int queued = primaryQueue.size() + anyTargetQueue.size();
    int slots = TARGETS * pattern.slotsPerTarget();
    double ownBacklogMs =
        policy.fairQueueing()
            ? queuedMsByOrganisation.getOrDefault(request.organisation, 0.0)
            : backlogMs;
    int activeOrganisations =
        policy.fairQueueing() ? Math.max(1, queuedMsByOrganisation.size()) : 1;
    Backlog backlog =
        new Backlog(queued, toNanos(backlogMs), toNanos(ownBacklogMs), activeOrganisations, slots);
    boolean admitted = admission.admits(arrival, backlog, toNanos(nowMs));
    if (!admitted) {
      retryOrRefuse(request);
      return;
    }
    addQueuedMs(request, request.requestClass.serviceMs());
    int priority = policy.usesPriorities() ? request.requestClass.priority() : 0;
    String queueKey = policy.fairQueueing() ? request.organisation : "all";
    PriorityFairQueue<SimulatedRequest> queue =
        request.requestClass.primaryOnly() ? primaryQueue : anyTargetQueue;
    queue.add(queueKey, priority, request.requestClass.serviceMs(), request);
    dispatch();
  }

  private void addQueuedMs(SimulatedRequest request, double ms) {
    queuedMs += ms;
    double own = queuedMsByOrganisation.merge(request.organisation, ms, Double::sum);
    if (own < ROUNDING_ERROR_MS) {
      queuedMsByOrganisation.remove(request.organisation);
    }
  }

  private static long toNanos(double ms) {
    return (long) (ms * NANOS_PER_MS);
  }

  private void retryOrRefuse(SimulatedRequest request) {
    double retryMs = nowMs + ROUND_TRIP_MS;
    if (request.attempts <= pattern.maxRetries() && retryMs < request.deadlineMs()) {
      schedule(retryMs, () -> arrive(request));
    } else {
      report.recordRefusal();
    }
  }

  private void dispatch() {
    dispatch(primaryQueue, true);
    dispatch(anyTargetQueue, false);
  }

  private void dispatch(PriorityFairQueue<SimulatedRequest> queue, boolean primaryOnly) {
    SimulatedTarget target = selectTarget(primaryOnly);
    while (target != null) {
      SimulatedRequest next = queue.poll(request -> true);
      if (next == null) {
        return;
      }
      addQueuedMs(next, -next.requestClass.serviceMs());
      if (next.deadlineMs() < nowMs) {
        report.recordRefusal();
      } else {
        send(next, target);
        target = selectTarget(primaryOnly);
      }
    }
  }

  private SimulatedTarget selectTarget(boolean primaryOnly) {
    SimulatedTarget cheapest = null;
    double lowestCost = Double.MAX_VALUE;
    for (int i = 0; i < TARGETS; i++) {
      SimulatedTarget target = targets.get(i);
      boolean primary = i == 0;
      boolean hasRoom =
          target.statementsInFlight()
              < (long) pattern.slotsPerTarget() + policy.maxQueuedAtTarget();
      if (primaryOnly && !primary || !hasRoom || !target.hasAvailableConnection()) {
        continue;
      }
      double cost = (double) target.statementsInFlight() / pattern.slotsPerTarget();
      cost += primary && policy.readsAvoidPrimary() ? PRIMARY_COST_PENALTY : 0;
      if (cost < lowestCost) {
        cheapest = target;
        lowestCost = cost;
      }
    }
    return cheapest;
  }

  private void send(SimulatedRequest request, SimulatedTarget target) {
    boolean needsConnect = target.acquireConnection(request.organisation, nowMs);
    report.recordStatement(request.requestClass.serviceMs(), needsConnect, pattern.connectMs());
    Runnable statement =
        () ->
            enqueueWork(
                target,
                request.requestClass.serviceMs(),
                () -> {
                  target.releaseConnection(request.organisation);
                  report.recordAnswer(request, nowMs + ROUND_TRIP_MS);
                  dispatch();
                });
    if (needsConnect) {
      enqueueWork(target, pattern.connectMs(), statement);
    } else {
      statement.run();
    }
  }

  private void enqueueWork(SimulatedTarget target, double ms, Runnable done) {
    target.enqueue(new SimulatedTarget.Work(ms, done));
    startQueuedWork(target);
  }

  private void startQueuedWork(SimulatedTarget target) {
    for (SimulatedTarget.Work next = target.startNext(); next != null; next = target.startNext()) {
      SimulatedTarget.Work work = next;
      schedule(
          nowMs + work.ms(),
          () -> {
            target.complete(work);
            work.done().run();
            startQueuedWork(target);
          });
    }
  }
}
