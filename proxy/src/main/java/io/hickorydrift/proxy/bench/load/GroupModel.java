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
public final class GroupModel {
  /** The organisation that sends most, and that floods. */
  static final String LARGEST = "o1";

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
  private final LoadRules rules;
  private final LoadReport report = new LoadReport();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble((Event event) -> event.atMs())
              .thenComparingLong(Event::number));
  private final List<ModelTarget> targets = new ArrayList<>();
  private final AdmissionPolicy admission;
  private final PriorityFairQueue<ModelRequest> forPrimary = new PriorityFairQueue<>();
  private final PriorityFairQueue<ModelRequest> forAny = new PriorityFairQueue<>();
  private final Map<String, Double> waitingMsOf = new HashMap<>();
  private double waitingMs;
  private double nowMs;
  private long number;

  private GroupModel(LoadPattern pattern, LoadRules rules) {
    this.pattern = pattern;
    this.rules = rules;
    admission = rules.admission().get();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(
          new ModelTarget(pattern.slots(), pattern.connections(), rules.keeping().newEvictor()));
    }
  }

  /** Plays {@code pattern} under {@code rules}. */
  public static LoadReport run(LoadPattern pattern, LoadRules rules, long seed) {
    GroupModel model = new GroupModel(pattern, rules);
    model.arrivals(seed);
    model.play();
    return model.report;
  }

  /**
   * Returns the worth that no scheduler with these slots can exceed: the worth for slot time is
   * taken in falling order until the slots are full, as if work could be cut and nothing waited.
   */
  public static double bound(LoadPattern pattern) {
    List<LoadKind> kinds = new ArrayList<>(pattern.kinds());
    kinds.sort(Comparator.comparingDouble(kind -> -kind.worth() / kind.workMs()));
    double extra = pattern.floodFactor() > 1 ? floodedLoad(pattern) : 1;
    double leftMs = TARGETS * pattern.slots() * MS_PER_SECOND;
    double got = 0;
    double owed = 0;
    for (LoadKind kind : kinds) {
      double perSecond = kind.share() * pattern.perSecond() * extra;
      double done = Math.min(perSecond, leftMs / kind.workMs());
      leftMs -= done * kind.workMs();
      got += done * kind.worth();
      owed += perSecond * kind.worth();
    }
    return got / owed;
  }

  private static double floodedLoad(LoadPattern pattern) {
    double sum = 0;
    for (int rank = 1; rank <= pattern.organisations(); rank++) {
      sum += Math.pow(rank, -pattern.skew());
    }
    return 1 + (pattern.floodFactor() - 1) / sum / 3;
  }

  private void arrivals(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    DiscreteSampler organisation =
        RejectionInversionZipfSampler.of(
            random, pattern.organisations(), Math.max(pattern.skew(), 1e-6));
    ContinuousSampler gap =
        ZigguratSampler.Exponential.of(random, MS_PER_SECOND / pattern.perSecond());
    double endMs = pattern.seconds() * MS_PER_SECOND;
    for (double atMs = gap.sample(); atMs < endMs; atMs += gap.sample()) {
      int rank = organisation.sample();
      LoadKind kind = kind(random.nextDouble());
      boolean floods = rank == 1 && atMs > endMs / 3 && atMs < endMs * 2 / 3;
      int copies = floods ? (int) Math.floor(pattern.floodFactor() + random.nextDouble()) : 1;
      for (int i = 0; i < copies; i++) {
        ModelRequest request = new ModelRequest(kind, "o" + rank, atMs);
        at(atMs, () -> arrive(request));
      }
    }
  }

  private LoadKind kind(double point) {
    double sum = 0;
    for (LoadKind kind : pattern.kinds()) {
      sum += kind.share();
      if (point < sum) {
        return kind;
      }
    }
    return pattern.kinds().get(pattern.kinds().size() - 1);
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

  private void arrive(ModelRequest request) {
    if (request.attempts == 0) {
      report.asked(request);
    }
    request.attempts++;
    double beforeMs = waitingMs;
    for (ModelTarget target : targets) {
      beforeMs += target.pendingMs();
    }
    Arrival arrival =
        new Arrival(
            nanos(request.kind.workMs()),
            nanos(request.firstMs + request.kind.aimMs() - nowMs),
            nanos(request.deadlineMs() - nowMs));
    int queued = forPrimary.size() + forAny.size();
    int slots = TARGETS * pattern.slots();
    double ownMs = rules.fair() ? waitingMsOf.getOrDefault(request.organisation, 0.0) : beforeMs;
    int lanes = rules.fair() ? Math.max(1, waitingMsOf.size()) : 1;
    Backlog backlog = new Backlog(queued, nanos(beforeMs), nanos(ownMs), lanes, slots);
    boolean admitted = admission.admits(arrival, backlog, nanos(nowMs));
    if (!admitted) {
      refuse(request);
      return;
    }
    waits(request, request.kind.workMs());
    int priority = rules.urgentFirst() ? request.kind.priority() : 0;
    String lane = rules.fair() ? request.organisation : "all";
    PriorityFairQueue<ModelRequest> line = request.kind.primaryOnly() ? forPrimary : forAny;
    line.add(lane, priority, request.kind.workMs(), request);
    dispatch();
  }

  private void waits(ModelRequest request, double ms) {
    waitingMs += ms;
    double own = waitingMsOf.merge(request.organisation, ms, Double::sum);
    if (own < ROUNDING_MS) {
      waitingMsOf.remove(request.organisation);
    }
  }

  private static long nanos(double ms) {
    return (long) (ms * NANOS_PER_MS);
  }

  private void refuse(ModelRequest request) {
    double againMs = nowMs + ROUND_TRIP_MS;
    if (request.attempts <= pattern.retries() && againMs < request.deadlineMs()) {
      at(againMs, () -> arrive(request));
    } else {
      report.refused();
    }
  }

  private void dispatch() {
    dispatch(forPrimary, true);
    dispatch(forAny, false);
  }

  private void dispatch(PriorityFairQueue<ModelRequest> line, boolean primaryOnly) {
    ModelTarget target = place(primaryOnly);
    while (target != null) {
      ModelRequest next = line.poll(any -> true);
      if (next == null) {
        return;
      }
      waits(next, -next.kind.workMs());
      if (next.deadlineMs() < nowMs) {
        report.refused();
      } else {
        send(next, target);
        target = place(primaryOnly);
      }
    }
  }

  private ModelTarget place(boolean primaryOnly) {
    ModelTarget best = null;
    double bestCost = Double.MAX_VALUE;
    for (int i = 0; i < TARGETS; i++) {
      ModelTarget target = targets.get(i);
      boolean primary = i == 0;
      boolean room = target.sent() < (long) pattern.slots() + rules.ahead();
      if (primaryOnly && !primary || !room || !target.hasConnection()) {
        continue;
      }
      double cost = (double) target.sent() / pattern.slots();
      cost += primary && rules.keepsPrimaryFree() ? PRIMARY_COST : 0;
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  private void send(ModelRequest request, ModelTarget target) {
    boolean opens = target.take(request.organisation, nowMs);
    report.sent(request.kind.workMs(), opens, pattern.openMs());
    Runnable statement =
        () ->
            work(
                target,
                request.kind.workMs(),
                () -> {
                  target.giveBack(request.organisation);
                  report.answered(request, nowMs + ROUND_TRIP_MS);
                  dispatch();
                });
    if (opens) {
      work(target, pattern.openMs(), statement);
    } else {
      statement.run();
    }
  }

  private void work(ModelTarget target, double ms, Runnable done) {
    target.enqueue(new ModelTarget.Work(ms, done));
    startNext(target);
  }

  private void startNext(ModelTarget target) {
    for (ModelTarget.Work next = target.next(); next != null; next = target.next()) {
      ModelTarget.Work work = next;
      at(
          nowMs + work.ms(),
          () -> {
            target.ended(work);
            work.done().run();
            startNext(target);
          });
    }
  }
}
