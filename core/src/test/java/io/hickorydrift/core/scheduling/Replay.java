package io.hickorydrift.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Seeded arrivals of many organisations at one target, and their replay under either rule. */
final class Replay {
  static final long MS = 1_000_000L;
  static final String BIDS = "bids";
  static final String LISTINGS = "listings";
  static final int ORGANISATIONS = 82;
  private static final int SLOTS = 4;
  private static final int BUDGET = 42;
  private static final long DRAIN_MS = 10_000;
  private static final double MEAN_SERVICE_MS = 6;

  private final Random random;
  private boolean retries;
  private final List<ReplayedRequest> requests = new ArrayList<>();

  Replay(long seed) {
    random = new Random(seed);
  }

  /** Adds Poisson arrivals; the first organisations are larger than the others. */
  Replay arrivals(String kind, double perSecond, long fromMs, long untilMs) {
    for (double atMs = next(fromMs, perSecond); atMs < untilMs; atMs = next(atMs, perSecond)) {
      int index = (int) (ORGANISATIONS * random.nextDouble() * random.nextDouble());
      add(kind, "o" + index, atMs);
    }
    return this;
  }

  /** Adds arrivals of one organisation. */
  Replay arrivalsOf(String organisation, String kind, double perSecond, long fromMs, long untilMs) {
    for (double atMs = next(fromMs, perSecond); atMs < untilMs; atMs = next(atMs, perSecond)) {
      add(kind, organisation, atMs);
    }
    return this;
  }

  /** Adds transactions that stay idle for {@code idleMs} after their first statement. */
  Replay idleTransactions(int count, int organisations, long fromMs, long idleMs) {
    for (int i = 0; i < count; i++) {
      long[] services = {service(), service()};
      requests.add(
          new ReplayedRequest(
              "o" + i % organisations, "idle", 1, 400 * MS, fromMs * MS, services, idleMs * MS));
    }
    return this;
  }

  private double next(double atMs, double perSecond) {
    return atMs - Math.log(1 - random.nextDouble()) * 1000 / perSecond;
  }

  private void add(String kind, String organisation, double atMs) {
    boolean bid = kind.equals(BIDS);
    int statements = bid && random.nextDouble() < 0.4 ? 2 + random.nextInt(5) : 1;
    long[] services = new long[statements];
    for (int i = 0; i < statements; i++) {
      services[i] = bid ? service() : 2 * service();
    }
    requests.add(
        new ReplayedRequest(
            organisation,
            kind,
            bid ? 0 : 2,
            (bid ? 101 : 601) * MS,
            (long) (atMs * MS),
            services,
            10 * MS));
  }

  private long service() {
    return (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MS * MS);
  }

  /** Makes refused callers retry after the delay that they were told, until they are served. */
  Replay withRetries() {
    retries = true;
    return this;
  }

  Outcome run(boolean scheduled) {
    return run(scheduled, (clock, target) -> {});
  }

  /** Runs the arrivals; {@code incident} may schedule changes of the target. */
  Outcome run(
      boolean scheduled, java.util.function.BiConsumer<ReplayedClock, ReplayedTarget> incident) {
    ReplayedClock clock = new ReplayedClock();
    ReplayedTarget target = new ReplayedTarget(clock, SLOTS);
    ReplayedPool pool = new ReplayedPool(clock, target, BUDGET, scheduled);
    List<ReplayedRequest> copies = new ArrayList<>();
    if (retries) {
      pool.onEnd =
          request -> {
            if (request.result == ReplayedRequest.Result.REFUSED) {
              ReplayedRequest retry = request.again(clock.nowNanos() + request.retryNanos);
              copies.add(retry);
              clock.after(request.retryNanos, () -> pool.start(retry));
            }
          };
    }
    long lastNanos = 0;
    for (ReplayedRequest request : requests) {
      ReplayedRequest copy = request.again();
      copies.add(copy);
      clock.after(copy.arrivalNanos, () -> pool.start(copy));
      lastNanos = Math.max(lastNanos, copy.arrivalNanos);
    }
    incident.accept(clock, target);
    clock.runUntil(lastNanos + DRAIN_MS * MS);
    return new Outcome(copies, target.busyAnswers, pool.window.inFlight());
  }

  /** What became of all requests under one rule. */
  record Outcome(List<ReplayedRequest> requests, int busyAnswers, int placesTaken) {
    double inTime(Predicate<ReplayedRequest> filter) {
      return requests.stream()
          .filter(filter)
          .mapToInt(request -> request.inTime() ? 1 : 0)
          .average()
          .orElse(1);
    }

    double inTime() {
      return inTime(any -> true);
    }

    double inTime(String kind) {
      return inTime(request -> request.kind.equals(kind));
    }

    long served() {
      return requests.stream().filter(r -> r.result == ReplayedRequest.Result.SERVED).count();
    }

    /** Returns the lowest share in time of the organisations that match, with enough requests. */
    double worstOrganisation(Predicate<String> filter, int minRequests) {
      Map<String, List<ReplayedRequest>> byOrganisation = new HashMap<>();
      requests.forEach(
          r -> byOrganisation.computeIfAbsent(r.organisation, key -> new ArrayList<>()).add(r));
      return byOrganisation.entrySet().stream()
          .filter(each -> filter.test(each.getKey()) && each.getValue().size() >= minRequests)
          .mapToDouble(each -> new Outcome(each.getValue(), 0, 0).inTime())
          .min()
          .orElse(1);
    }

    void each(Consumer<ReplayedRequest> action) {
      requests.forEach(action);
    }
  }
}
