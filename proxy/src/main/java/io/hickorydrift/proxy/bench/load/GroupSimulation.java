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
 * One home before a primary and two replicas, in simulated time. Arrivals are random with a seed;
 * the same seed gives the same arrivals under all rules.
 *
 * <p>Thread safety: confined to one thread; one use each.
 */
public final class GroupSimulation {
  /** The organisation that sends most, and that floods. */
  static final String LARGEST_ORGANISATION = "o1";

  private static final int TARGETS = 3;
  private static final double MS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MS = 1e6;
  // A caller's way there and back.
  private static final double ROUND_TRIP_MS = 4;
  // A read goes to the primary only if a replica has twice its slots more to do.
  private static final double PRIMARY_COST = 2;
  private static final double ROUNDING_MS = 1e-6;

  private record Event(double atMs, long number, Runnable action) {}

  private final LoadPattern pattern;
  private final SchedulingPolicy rules;
  private final LoadReport report = new LoadReport();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble((Event event) -> event.atMs())
              .thenComparingLong(Event::number));
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final AdmissionPolicy admission;
  private final PriorityFairQueue<SimulatedRequest> forPrimary = new PriorityFairQueue<>();
  private final PriorityFairQueue<SimulatedRequest> forAny = new PriorityFairQueue<>();
  private final Map<String, Double> waitingMsOf = new HashMap<>();
  private double waitingMs;
  private double nowMs;
  private long number;

  private GroupSimulation(LoadPattern pattern, SchedulingPolicy rules) {
    this.pattern = pattern;
    this.rules = rules;
    admission = rules.admission().get();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(
          new SimulatedTarget(
              pattern.slotsPerTarget(),
              pattern.connectionsPerTarget(),
              rules.evictionPolicy().newEvictor()));
    }
  }

  /** Plays {@code pattern} under {@code rules}. */
  public static LoadReport run(LoadPattern pattern, SchedulingPolicy rules, long seed) {
    GroupSimulation model = new GroupSimulation(pattern, rules);
    model.arrivals(seed);
    model.play();
    return model.report;
  }

  /**
   * Returns the worth that no scheduler with these slots can exceed: the worth for slot time is
   * taken in falling order until the slots are full, as if work could be cut and nothing waited.
   */
  public static double utilityBound(LoadPattern pattern) {
    List<RequestClass> kinds = new ArrayList<>(pattern.requestClasses());
    kinds.sort(Comparator.comparingDouble(kind -> -kind.utility() / kind.serviceMs()));
    double extra = pattern.floodFactor() > 1 ? floodedLoad(pattern) : 1;
    double leftMs = TARGETS * pattern.slotsPerTarget() * MS_PER_SECOND;
    double got = 0;
    double owed = 0;
    for (RequestClass kind : kinds) {
      double perSecond = kind.share() * pattern.requestsPerSecond() * extra;
      double done = Math.min(perSecond, leftMs / kind.serviceMs());
      leftMs -= done * kind.serviceMs();
      got += done * kind.utility();
      owed += perSecond * kind.utility();
    }
    return got / owed;
  }

  private static double floodedLoad(LoadPattern pattern) {
    double sum = 0;
    for (int rank = 1; rank <= pattern.organisationCount(); rank++) {
      sum += Math.pow(rank, -pattern.zipfExponent());
    }
    return 1 + (pattern.floodFactor() - 1) / sum / 3;
  }

  private void arrivals(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    DiscreteSampler organisation =
        RejectionInversionZipfSampler.of(
            random, pattern.organisationCount(), Math.max(pattern.zipfExponent(), 1e-6));
    ContinuousSampler gap =
        ZigguratSampler.Exponential.of(random, MS_PER_SECOND / pattern.requestsPerSecond());
    double endMs = pattern.durationSeconds() * MS_PER_SECOND;
    for (double atMs = gap.sample(); atMs < endMs; atMs += gap.sample()) {
      int rank = organisation.sample();
      RequestClass kind = kind(random.nextDouble());
      boolean floods = rank == 1 && atMs > endMs / 3 && atMs < endMs * 2 / 3;
      int copies = floods ? (int) Math.floor(pattern.floodFactor() + random.nextDouble()) : 1;
      for (int i = 0; i < copies; i++) {
        SimulatedRequest request = new SimulatedRequest(kind, "o" + rank, atMs);
        at(atMs, () -> arrive(request));
      }
    }
  }

  private RequestClass kind(double point) {
    double sum = 0;
    for (RequestClass kind : pattern.requestClasses()) {
      sum += kind.share();
      if (point < sum) {
        return kind;
      }
    }
    return pattern.requestClasses().get(pattern.requestClasses().size() - 1);
  }

  private void at(double atMs, Runnable action) {
    events.add(new Event(atMs, number++, action));
  }

  private void play() {
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
    double beforeMs = waitingMs;
    for (SimulatedTarget target : targets) {
      beforeMs += target.pendingMs();
    }
    Arrival arrival =
        new Arrival(
            nanos(request.requestClass.serviceMs()),
            nanos(request.firstAttemptMs + request.requestClass.objectiveMs() - nowMs),
            nanos(request.deadlineMs() - nowMs));
    int queued = forPrimary.size() + forAny.size();
    int slots = TARGETS * pattern.slotsPerTarget();
    double ownMs =
        rules.fairQueueing() ? waitingMsOf.getOrDefault(request.organisation, 0.0) : beforeMs;
    int lanes = rules.fairQueueing() ? Math.max(1, waitingMsOf.size()) : 1;
    Backlog backlog = new Backlog(queued, nanos(beforeMs), nanos(ownMs), lanes, slots);
    boolean admitted = admission.admits(arrival, backlog, nanos(nowMs));
    if (!admitted) {
      refuse(request);
      return;
    }
    waits(request, request.requestClass.serviceMs());
    int priority = rules.usesPriorities() ? request.requestClass.priority() : 0;
    String lane = rules.fairQueueing() ? request.organisation : "all";
    PriorityFairQueue<SimulatedRequest> line =
        request.requestClass.primaryOnly() ? forPrimary : forAny;
    line.add(lane, priority, request.requestClass.serviceMs(), request);
    dispatch();
  }

  private void waits(SimulatedRequest request, double ms) {
    waitingMs += ms;
    double own = waitingMsOf.merge(request.organisation, ms, Double::sum);
    if (own < ROUNDING_MS) {
      waitingMsOf.remove(request.organisation);
    }
  }

  private static long nanos(double ms) {
    return (long) (ms * NANOS_PER_MS);
  }

  private void refuse(SimulatedRequest request) {
    double againMs = nowMs + ROUND_TRIP_MS;
    if (request.attempts <= pattern.maxRetries() && againMs < request.deadlineMs()) {
      at(againMs, () -> arrive(request));
    } else {
      report.recordRefusal();
    }
  }

  private void dispatch() {
    dispatch(forPrimary, true);
    dispatch(forAny, false);
  }

  private void dispatch(PriorityFairQueue<SimulatedRequest> line, boolean primaryOnly) {
    SimulatedTarget target = place(primaryOnly);
    while (target != null) {
      SimulatedRequest next = line.poll(any -> true);
      if (next == null) {
        return;
      }
      waits(next, -next.requestClass.serviceMs());
      if (next.deadlineMs() < nowMs) {
        report.recordRefusal();
      } else {
        send(next, target);
        target = place(primaryOnly);
      }
    }
  }

  private SimulatedTarget place(boolean primaryOnly) {
    SimulatedTarget best = null;
    double bestCost = Double.MAX_VALUE;
    for (int i = 0; i < TARGETS; i++) {
      SimulatedTarget target = targets.get(i);
      boolean primary = i == 0;
      boolean room =
          target.statementsInFlight() < (long) pattern.slotsPerTarget() + rules.maxQueuedAtTarget();
      if (primaryOnly && !primary || !room || !target.hasAvailableConnection()) {
        continue;
      }
      double cost = (double) target.statementsInFlight() / pattern.slotsPerTarget();
      cost += primary && rules.readsAvoidPrimary() ? PRIMARY_COST : 0;
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  private void send(SimulatedRequest request, SimulatedTarget target) {
    boolean opens = target.acquireConnection(request.organisation, nowMs);
    report.recordStatement(request.requestClass.serviceMs(), opens, pattern.connectMs());
    Runnable statement =
        () ->
            work(
                target,
                request.requestClass.serviceMs(),
                () -> {
                  target.releaseConnection(request.organisation);
                  report.recordAnswer(request, nowMs + ROUND_TRIP_MS);
                  dispatch();
                });
    if (opens) {
      work(target, pattern.connectMs(), statement);
    } else {
      statement.run();
    }
  }

  private void work(SimulatedTarget target, double ms, Runnable done) {
    target.enqueue(new SimulatedTarget.Work(ms, done));
    startNext(target);
  }

  private void startNext(SimulatedTarget target) {
    for (SimulatedTarget.Work next = target.startNext(); next != null; next = target.startNext()) {
      SimulatedTarget.Work work = next;
      at(
          nowMs + work.ms(),
          () -> {
            target.complete(work);
            work.done().run();
            startNext(target);
          });
    }
  }
}
