package io.hickorydrift.core.directory;

import io.hickorydrift.core.admission.RetryBudget;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.Regions;
import io.hickorydrift.core.store.StorePosition;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Replays reads of one group with three targets, of which the first may be faulty, on a test clock.
 * The rule before avoids a target for 60 ms after it was busy and for 300 ms if nothing came from
 * it for 120 ms; the present rule adds {@link TargetHealth}. A read is tried again as {@code
 * ReadExecution} does, except that the budget limits only retries without an answer and not those
 * after a failure: the rules are compared by the targets that they choose.
 */
final class ReadReplay {
  static final long MS = 1_000_000;
  private static final int TARGETS = 3;
  private static final int SLOTS = 4;
  private static final int MAX_QUEUED = 32;
  private static final int MAX_ATTEMPTS = 3;
  private static final long TIMEOUT_MS = 1_000;
  // The shortest objective of a read in the specified deployments.
  private static final long OBJECTIVE_MS = 201;
  // The interval at which the gateway evaluates the outcomes.
  private static final long TICK_MS = 50;
  private static final Position POSITION = new Position(1, 1);

  /** How a target treats a statement. */
  enum Fault {
    /** Runs it. */
    NONE,
    /** Leaves it without an answer. */
    HANGS,
    /** Fails it after running it. */
    FAILS
  }

  /** The behaviour of a target. */
  interface Behaviour {
    /** Returns what happens to a statement; {@code dice} is in [0, 1). */
    Fault fault(long nowMs, double dice);

    /** Returns the factor by which statements take longer than at other targets. */
    default double slowness(long nowMs) {
      return 1;
    }
  }

  /** A read and its result. */
  static final class Read {
    final long arrivalMs;
    private final String organisation;
    private final Set<String> tried = new HashSet<>();
    private int inFlight;
    private int attempts;
    private boolean ended;
    boolean inTime;

    private Read(long arrivalMs, String organisation) {
      this.arrivalMs = arrivalMs;
      this.organisation = organisation;
    }
  }

  private record Event(long nanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return nanos != other.nanos
          ? Long.compare(nanos, other.nanos)
          : Long.compare(order, other.order);
    }
  }

  private final class Target {
    private final TargetState state;
    private final Behaviour behaviour;
    private final Random random;
    private final ArrayDeque<Runnable> queued = new ArrayDeque<>();
    private int busy;
    private long lastReceivedNanos;
    private final List<Long> sentMs = new ArrayList<>();

    private Target(int index, Behaviour behaviour, long seed) {
      this.behaviour = behaviour;
      random = new Random(seed * TARGETS + index);
      directory.put(
          new TargetEntry("t" + index, "g", "host:" + index, "d", SLOTS, false, index == 2, 1, 1),
          new StorePosition(0, 1));
      state =
          directory.group("g").targets().stream()
              .filter(each -> each.entry().id().equals("t" + index))
              .findFirst()
              .orElseThrow();
    }

    private void send(Runnable work) {
      if (busy < SLOTS) {
        busy++;
        work.run();
      } else {
        queued.addLast(work);
      }
    }

    private void freeSlot() {
      Runnable next = queued.pollFirst();
      if (next == null) {
        busy--;
      } else {
        next.run();
      }
    }
  }

  private final Directory directory = new Directory(target -> {});
  private final ReadPlacement placement = new ReadPlacement("d", Regions.NONE);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Target> targets = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final RetryBudget budget = new RetryBudget();
  private final boolean useHealth;
  private long nowNanos;
  private long eventCount;
  private int maxPassedOver;
  private long lastNotHealthyMs;

  /** Creates a replay whose targets behave as given, by index; the last one is the primary. */
  ReadReplay(long seed, boolean useHealth, Behaviour... behaviours) {
    this.useHealth = useHealth;
    for (int i = 0; i < TARGETS; i++) {
      targets.add(new Target(i, behaviours[i], seed));
    }
  }

  /** Runs reads that arrive at random, {@code ratePerSecond} on average, for {@code endMs}. */
  ReadReplay run(long seed, int ratePerSecond, long endMs) {
    Random random = new Random(seed);
    double atMs = 0;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) * 1_000 / ratePerSecond;
      if (atMs >= endMs) {
        break;
      }
      Read read = new Read((long) atMs, "org-" + random.nextInt(20));
      reads.add(read);
      at((long) (atMs * MS), () -> start(read));
    }
    for (long tickMs = 0; tickMs < endMs; tickMs += TICK_MS) {
      at(tickMs * MS, () -> OutlierEjection.update(directory.group("g"), nowNanos));
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowNanos = next.nanos();
      next.action().run();
      int passedOver = 0;
      for (Target target : targets) {
        passedOver += target.state.health().isPassedOver() ? 1 : 0;
      }
      maxPassedOver = Math.max(maxPassedOver, passedOver);
      if (targets.get(0).state.health().state() != TargetHealth.State.HEALTHY) {
        lastNotHealthyMs = nowMs();
      }
    }
    return this;
  }

  private void at(long nanos, Runnable action) {
    events.add(new Event(nanos, eventCount++, action));
  }

  private void after(long ms, Runnable action) {
    at(nowNanos + ms * MS, action);
  }

  private long nowMs() {
    return nowNanos / MS;
  }

  private void start(Read read) {
    budget.deposit();
    tryNext(read);
  }

  private void tryNext(Read read) {
    if (read.ended || nowMs() - read.arrivalMs > TIMEOUT_MS) {
      return;
    }
    TargetState chosen =
        placement.choose(
            directory.group("g"),
            read.organisation,
            POSITION,
            read.tried,
            mayRun -> true,
            idle -> true,
            nowNanos);
    if (chosen == null) {
      if (read.inFlight == 0) {
        read.tried.clear();
        after(15, () -> tryNext(read));
      }
      return;
    }
    Target target = targets.stream().filter(each -> each.state == chosen).findFirst().orElseThrow();
    read.tried.add(chosen.entry().id());
    attempt(read, target);
  }

  private void attempt(Read read, Target target) {
    read.inFlight++;
    read.attempts++;
    target.sentMs.add(nowMs());
    if (target.queued.size() >= MAX_QUEUED) {
      target.lastReceivedNanos = nowNanos;
      read.inFlight--;
      if (useHealth) {
        target.state.health().record(TargetHealth.Outcome.REFUSAL, nowNanos);
      }
      target.state.avoidUntil(nowNanos + 60 * MS);
      tryNext(read);
      return;
    }
    target.state.recordSent();
    final long sentNanos = nowNanos;
    long[] missedNanos = {0};
    boolean[] answered = {false};
    long delayNanos =
        useHealth ? target.state.health().retryDelayNanos() : formerDelayNanos(target.state);
    at(
        nowNanos + delayNanos,
        () -> {
          if (!answered[0]) {
            missedNanos[0] = nowNanos;
            onSlow(read, target);
          }
        });
    target.send(
        () -> {
          Fault fault = target.behaviour.fault(nowMs(), target.random.nextDouble());
          double serviceMs =
              (4 + 8 * target.random.nextDouble()) * target.behaviour.slowness(nowMs());
          after(
              (long) serviceMs,
              () -> {
                target.freeSlot();
                if (fault != Fault.HANGS) {
                  answered[0] = true;
                  answer(read, target, sentNanos, missedNanos[0], fault == Fault.NONE);
                }
              });
          if (fault == Fault.HANGS) {
            at((read.arrivalMs + TIMEOUT_MS) * MS, () -> lost(read, target, sentNanos));
          }
        });
  }

  private static long formerDelayNanos(TargetState state) {
    return (long) Math.max(120 * MS, Math.min(400 * MS, state.averageAnswerNanos() * 5));
  }

  private void onSlow(Read read, Target target) {
    if (useHealth) {
      target.state.health().record(TargetHealth.Outcome.NO_ANSWER, nowNanos);
    }
    if (read.ended) {
      return;
    }
    if (nowNanos - target.lastReceivedNanos > 120 * MS) {
      target.state.avoidUntil(nowNanos + 300 * MS);
    }
    if (read.inFlight < MAX_ATTEMPTS && budget.tryWithdraw()) {
      tryNext(read);
    }
  }

  private void lost(Read read, Target target, long sentNanos) {
    read.inFlight--;
    target.state.recordAnswered(nowNanos - sentNanos);
  }

  private void answer(Read read, Target target, long sentNanos, long missedNanos, boolean ok) {
    read.inFlight--;
    target.lastReceivedNanos = nowNanos;
    target.state.recordAnswered(nowNanos - sentNanos);
    if (useHealth && ok && missedNanos > 0) {
      target.state.health().recordLateSuccess(missedNanos, nowNanos - sentNanos);
    } else if (useHealth && ok) {
      target.state.health().recordSuccess(nowNanos - sentNanos, nowNanos);
    } else if (useHealth && missedNanos == 0) {
      target.state.health().record(TargetHealth.Outcome.FAILURE, nowNanos);
    }
    if (ok && !read.ended) {
      read.ended = true;
      read.inTime = nowMs() - read.arrivalMs <= OBJECTIVE_MS;
    } else if (!ok) {
      tryNext(read);
    }
  }

  /** Returns the number of reads in time. */
  long inTime() {
    return reads.stream().filter(read -> read.inTime).count();
  }

  /** Returns the share of reads in time of those that arrived in the given period. */
  double shareInTime(long fromMs, long toMs) {
    long count = reads.stream().filter(r -> r.arrivalMs >= fromMs && r.arrivalMs < toMs).count();
    long inTime =
        reads.stream().filter(r -> r.arrivalMs >= fromMs && r.arrivalMs < toMs && r.inTime).count();
    return (double) inTime / count;
  }

  /** Returns the number of statements sent to the target {@code index} in the given period. */
  long sentTo(int index, long fromMs, long toMs) {
    return targets.get(index).sentMs.stream().filter(ms -> ms >= fromMs && ms < toMs).count();
  }

  /** Returns the number of attempts of all reads. */
  int attempts() {
    return reads.stream().mapToInt(read -> read.attempts).sum();
  }

  /** Returns the number of reads. */
  int count() {
    return reads.size();
  }

  /** Returns the highest number of targets that were passed over at the same time. */
  int maxPassedOver() {
    return maxPassedOver;
  }

  /** Returns when the first target last got less than its share. */
  long lastNotHealthyMs() {
    return lastNotHealthyMs;
  }

  /** Returns a behaviour with {@code fault} for a share of the statements while faulty. */
  static Behaviour faulty(Fault fault, double share, IntPredicate whileMs) {
    return (nowMs, dice) -> whileMs.test((int) nowMs) && dice < share ? fault : Fault.NONE;
  }
}
