package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Simulates instances that request tokens over links that delay and lose messages. */
final class ReplayedFleet {
  static final String ORGANISATION = "red";
  private static final long MS = 1_000_000L;
  private static final long REGION_DELAY_NANOS = 30 * MS;

  /** An operation of a caller, which may retry when it is refused. */
  static final class Operation {
    final int priority;
    final long arrivalNanos;
    private final int instance;
    private long attemptNanos;
    int attempts;
    boolean admitted;

    /** Longest time until an attempt was refused. */
    long longestRefusalNanos;

    private Operation(int priority, int instance, long arrivalNanos) {
      this.priority = priority;
      this.instance = instance;
      this.arrivalNanos = arrivalNanos;
    }
  }

  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final List<SharedRateLimiter> instances = new ArrayList<>();
  private final List<String> names = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random;
  private final double lossProbability;
  private final int regionCount;
  final List<Long> admitted = new ArrayList<>();
  private final ArrayDeque<Integer> unreachable = new ArrayDeque<>();
  private long nowNanos;
  private long order;
  private long ticket;
  int refused;
  final List<Operation> operations = new ArrayList<>();
  private final List<Long> arrivals = new ArrayList<>();
  private final Map<Long, Operation> waiting = new HashMap<>();
  private final Random priorities;
  private double urgentShare;
  private double listingsShare;
  private boolean namesPriorities = true;
  private int maxAttempts = 1;

  ReplayedFleet(int size, RateLimit limit, double lossProbability, long seed) {
    this(size, limit, lossProbability, seed, GrantTiming.WITHIN_REGION, 1);
  }

  /** Creates instances of which every {@code regionCount}th is in the same region. */
  ReplayedFleet(
      int size,
      RateLimit limit,
      double lossProbability,
      long seed,
      GrantTiming timing,
      int regionCount) {
    this.lossProbability = lossProbability;
    this.regionCount = regionCount;
    random = new Random(seed);
    // Of its own, so that priorities leave the arrivals unchanged.
    priorities = new Random(seed + 1);
    for (int i = 0; i < size; i++) {
      names.add("gw-" + i);
      instances.add(new SharedRateLimiter(timing));
    }
    List<String> holders =
        timing.nearestFirst()
            ? RateHolders.inEachRegion(ORGANISATION, limit, timing, names, this::regionOf)
            : RateHolders.of(ORGANISATION, limit, timing, names);
    for (int i = 0; i < size; i++) {
      SharedRateLimiter instance = instances.get(i);
      instance.setLimits(Map.of(ORGANISATION, limit), 0);
      List<String> others = new ArrayList<>(holders);
      boolean isHolder = others.remove(names.get(i));
      if (timing.nearestFirst()) {
        String region = regionOf(names.get(i));
        others.sort(Comparator.comparing(other -> !regionOf(other).equals(region)));
      }
      instance.setHolders(ORGANISATION, others, isHolder ? 1.0 / holders.size() : 0, 0);
    }
  }

  private String regionOf(String name) {
    return "r" + names.indexOf(name) % regionCount;
  }

  /** Makes these shares of the operations urgent (priority 0) and listings (priority 2). */
  ReplayedFleet withPriorities(double urgent, double listings) {
    urgentShare = urgent;
    listingsShare = listings;
    return this;
  }

  /** Reports all operations with the same priority to the limiters, which then serve in order. */
  ReplayedFleet inOrderOfArrival() {
    namesPriorities = false;
    return this;
  }

  /** Makes refused callers retry after the delay that they were told. */
  ReplayedFleet withAttempts(int attempts) {
    maxAttempts = attempts;
    return this;
  }

  private int nextPriority() {
    double position = priorities.nextDouble();
    return position < urgentShare ? 0 : position < urgentShare + listingsShare ? 2 : 1;
  }

  private void attempt(Operation operation) {
    operation.attempts++;
    operation.attemptNanos = nowNanos;
    waiting.put(ticket, operation);
    int priority = namesPriorities ? operation.priority : 1;
    SharedRateLimiter instance = instances.get(operation.instance);
    carryOut(operation.instance, instance.acquire(ORGANISATION, ticket++, priority, nowNanos));
  }

  private void refused(Operation operation, long retryAfterMs) {
    refused++;
    operation.longestRefusalNanos =
        Math.max(operation.longestRefusalNanos, nowNanos - operation.attemptNanos);
    if (operation.attempts < maxAttempts) {
      at(nowNanos + retryAfterMs * MS, () -> attempt(operation));
    }
  }

  /** Makes the first {@code count} holders unreachable for the other instances. */
  void loseHolders(RateLimit limit, int count) {
    List<String> holders = RateHolders.of(ORGANISATION, limit, GrantTiming.WITHIN_REGION, names);
    for (String holder : holders.subList(0, Math.min(count, holders.size()))) {
      unreachable.add(names.indexOf(holder));
    }
  }

  private void at(long nanos, Runnable action) {
    events.add(new Event(nanos, order++, action));
  }

  private void carryOut(int from, List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit admit) {
        admitted.add(nowNanos);
        waiting.remove(admit.ticket()).admitted = true;
      } else if (action instanceof RateLimitAction.Refuse refuse) {
        refused(waiting.remove(refuse.ticket()), refuse.retryAfterMs());
      } else if (action instanceof RateLimitAction.RequestTokens tokenRequest) {
        int holder = names.indexOf(tokenRequest.peer());
        send(from, holder, () -> answer(from, holder, tokenRequest));
      }
    }
  }

  private void send(int from, int to, Runnable arrival) {
    if (random.nextDouble() >= lossProbability) {
      long distanceNanos = from % regionCount == to % regionCount ? 0 : REGION_DELAY_NANOS;
      at(nowNanos + distanceNanos + (long) (random.nextDouble() * 4 * MS), arrival);
    }
  }

  private void answer(int from, int holder, RateLimitAction.RequestTokens tokens) {
    if (unreachable.contains(holder)) {
      return;
    }
    GrantAnswer answer =
        instances.get(holder).onTokenRequest(tokens.request(), tokens.urgentTokens(), nowNanos);
    send(holder, from, () -> carryOut(from, instances.get(from).onGrantAnswer(answer, nowNanos)));
  }

  int refusedBySingleBucket(double rate) {
    TokenBucket bucket = new TokenBucket(rate, rate, 0);
    int count = 0;
    for (long arrivalNanos : arrivals) {
      if (bucket.level(arrivalNanos) < 1) {
        count++;
      } else {
        bucket.take(1, arrivalNanos);
      }
    }
    return count;
  }

  void run(double perSecond, long untilMs, int[] weights) {
    for (long ms = 0; ms < untilMs; ms += 5) {
      for (int i = 0; i < instances.size(); i++) {
        int instance = i;
        at(ms * MS, () -> carryOut(instance, instances.get(instance).tick(nowNanos)));
      }
    }
    int sum = 0;
    for (int weight : weights) {
      sum += weight;
    }
    double ms = 0;
    while (ms < untilMs) {
      ms += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      int remainingWeight = random.nextInt(sum);
      int instance = 0;
      while (remainingWeight >= weights[instance]) {
        remainingWeight -= weights[instance++];
      }
      Operation operation = new Operation(nextPriority(), instance, (long) (ms * MS));
      operations.add(operation);
      arrivals.add(operation.arrivalNanos);
      at(operation.arrivalNanos, () -> attempt(operation));
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowNanos = next.atNanos;
      next.action.run();
    }
  }
}
