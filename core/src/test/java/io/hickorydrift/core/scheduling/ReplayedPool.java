package io.hickorydrift.core.scheduling;

import io.hickorydrift.core.admission.PriorityWaitQueue;
import io.hickorydrift.core.connection.ConnectionEvictor;
import io.hickorydrift.core.connection.EvictionPolicy;
import io.hickorydrift.core.connection.OpeningPolicy;
import io.hickorydrift.core.scheduling.ReplayedRequest.Result;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The pool of one target at its home, in replayed time: the decisions of the product, and
 * connections that do nothing but wait. With {@code scheduled}, the rules of groups with urgent
 * work; else those of all others.
 */
final class ReplayedPool {
  private static final long OPEN_NANOS = 12_000_000L;
  private static final long MAX_WAIT_NANOS = 400_000_000L;
  private static final long TICK_NANOS = 50_000_000L;
  private static final long BACKOFF_NANOS = 15_000_000L;
  private static final int MAX_OPENING = 2;

  private static final class Connection {
    private final String organisation;
    private boolean open;
    private ReplayedRequest holder;
    private boolean running;

    private Connection(String organisation) {
      this.organisation = organisation;
    }
  }

  private record Waiter(WaitingRequest request, ReplayedRequest replayed) {}

  private final ReplayedClock clock;
  private final ReplayedTarget target;
  private final int budget;
  private final boolean scheduled;
  private final WaitQueue<Waiter> queue;
  private final ConnectionEvictor evictor = EvictionPolicy.LEAST_EXPECTED_COST.newEvictor();
  private final List<Connection> connections = new ArrayList<>();
  private final List<Connection> idle = new ArrayList<>();
  private final ArrayDeque<Connection> gated = new ArrayDeque<>();
  final StatementWindow window;
  Consumer<ReplayedRequest> onEnd = request -> {};
  private final ReplayedRefusals refusals;

  ReplayedPool(ReplayedClock clock, ReplayedTarget target, int budget, boolean scheduled) {
    this.clock = clock;
    this.target = target;
    this.budget = budget;
    this.scheduled = scheduled;
    queue = scheduled ? new FairWaitQueue<>() : new PriorityWaitQueue<>();
    window = new StatementWindow(target.slots);
    refusals = new ReplayedRefusals(clock);
    clock.after(TICK_NANOS, this::tick);
  }

  void start(ReplayedRequest request) {
    evictor.recordUse(request.organisation, clock.nowNanos());
    Connection own = scheduled ? null : idleOf(request.organisation);
    if (own != null) {
      idle.remove(own);
      begin(own, request);
      return;
    }
    WaitingRequest waiting =
        new WaitingRequest(
            request.organisation,
            request.priority,
            clock.nowNanos(),
            request.arrivalNanos,
            request.objectiveNanos,
            request.arrivalNanos + MAX_WAIT_NANOS,
            request.serviceNanos[0]);
    if (refusesAtOnce(request, waiting)) {
      end(request, Result.REFUSED);
      return;
    }
    queue.add(waiting, new Waiter(waiting, request));
    serveWaiting();
  }

  /** Returns whether the window has room and a connection of the organisation is free. */
  private boolean isFree(ReplayedRequest request) {
    return window.hasRoom()
        && (idleOf(request.organisation) != null || connections.size() < budget);
  }

  private boolean refusesAtOnce(ReplayedRequest request, WaitingRequest waiting) {
    if (!scheduled || isFree(request)) {
      return false;
    }
    boolean queued = queue.count(w -> w.request.priority() <= waiting.priority()) > 0;
    int ahead = queue.countBefore(waiting, clock.nowNanos());
    return refusals.refuses(request, waiting, ahead, queued);
  }

  private boolean hasRoomFor(String organisation) {
    long own =
        connections.stream()
            .filter(each -> each.organisation.equals(organisation) && (each.running || !each.open))
            .count();
    return window.hasRoomFor((int) own);
  }

  private Connection idleOf(String organisation) {
    for (int i = idle.size() - 1; i >= 0; i--) {
      if (idle.get(i).organisation.equals(organisation)) {
        return idle.get(i);
      }
    }
    return null;
  }

  private void begin(Connection connection, ReplayedRequest request) {
    connection.holder = request;
    runNext(connection);
  }

  private void runNext(Connection connection) {
    connection.running = true;
    if (scheduled && !window.hasRoom()) {
      gated.add(connection);
      return;
    }
    send(connection);
  }

  private void send(Connection connection) {
    ReplayedRequest request = connection.holder;
    window.take();
    long sentNanos = clock.nowNanos();
    target.run(
        request.serviceNanos[request.nextStatement],
        ran -> {
          connection.running = false;
          if (ran) {
            window.recordAnswer(clock.nowNanos() - sentNanos);
          } else {
            window.recordBusy();
          }
          window.giveBack();
          request.lastUsedNanos = clock.nowNanos();
          answered(connection, request, ran);
          serveWaiting();
        });
  }

  /** Gives free places to open transactions first, then to waiting requests in their order. */
  private void serveWaiting() {
    if (!scheduled) {
      openForWaiting();
      return;
    }
    while (!gated.isEmpty() && window.hasRoom()) {
      send(gated.poll());
    }
    boolean lacking = false;
    Set<String> unserved = new HashSet<>();
    List<Waiter> ordered =
        refusals.recovery.serviceOrder(
            queue.items(clock.nowNanos()),
            waiter -> idleOf(waiter.request.organisation()) != null,
            clock.nowNanos());
    for (Waiter next : ordered) {
      String organisation = next.request.organisation();
      if (!hasRoomFor(organisation)) {
        continue;
      }
      Connection own = idleOf(organisation);
      if (own != null) {
        queue.poll(waiter -> waiter == next, clock.nowNanos());
        idle.remove(own);
        refusals.recordServed(!queue.isEmpty());
        begin(own, next.replayed);
      } else if (unserved.add(organisation) && openingCount() < MAX_OPENING) {
        lacking |= !openFor(next);
      }
    }
    if (lacking) {
      endIdleTransactions();
    }
  }

  private boolean openFor(Waiter waiter) {
    OpeningPolicy.Decision decision = decide(waiter);
    if (decision == OpeningPolicy.Decision.REPLACE && !evictFor(waiter)) {
      return false;
    }
    if (decision != OpeningPolicy.Decision.WAIT) {
      window.take();
      open(waiter.request.organisation());
    }
    return true;
  }

  /** Closes an idle connection that nobody waits for, or one that has to make room. */
  private boolean evictFor(Waiter waiter) {
    List<Connection> candidates = new ArrayList<>();
    for (Connection each : idle) {
      if (firstOf(each.organisation) == null) {
        candidates.add(each);
      }
    }
    if (candidates.isEmpty()) {
      Connection room = roomFor(waiter);
      if (room != null) {
        idle.remove(room);
        connections.remove(room);
      }
      return room != null;
    }
    List<String> organisations = new ArrayList<>();
    candidates.forEach(each -> organisations.add(each.organisation));
    Connection victim = candidates.get(evictor.selectVictim(organisations, clock.nowNanos()));
    idle.remove(victim);
    connections.remove(victim);
    return true;
  }

  private Connection roomFor(Waiter first) {
    Set<String> organisations = new HashSet<>();
    connections.forEach(each -> organisations.add(each.organisation));
    queue.items(clock.nowNanos()).forEach(w -> organisations.add(w.request.organisation()));
    for (Connection each : idle) {
      if (FreedConnectionPolicy.makesRoom(
          first.request,
          firstOf(each.organisation).request,
          (int) countOf(each.organisation),
          budget / organisations.size(),
          clock.nowNanos())) {
        return each;
      }
    }
    return null;
  }

  private void answered(Connection connection, ReplayedRequest request, boolean ran) {
    if (!ran && request.nextStatement > 0) {
      clock.after(BACKOFF_NANOS, () -> runNext(connection));
      connection.running = true;
    } else if (!ran) {
      release(connection);
      if (clock.nowNanos() - request.arrivalNanos > MAX_WAIT_NANOS) {
        refuseAfterWait(request);
      } else {
        clock.after(BACKOFF_NANOS, () -> start(request));
      }
    } else if (++request.nextStatement == request.serviceNanos.length) {
      end(request, Result.SERVED);
      release(connection);
    } else {
      clock.after(
          request.pauseNanos,
          () -> {
            if (connection.holder == request) {
              runNext(connection);
            } else {
              end(request, Result.ABORTED);
            }
          });
    }
  }

  private void refuseAfterWait(ReplayedRequest request) {
    if (scheduled) {
      refusals.waitedInVain(request);
    }
    end(request, Result.REFUSED);
  }

  private void end(ReplayedRequest request, Result result) {
    request.result = result;
    request.endNanos = clock.nowNanos();
    onEnd.accept(request);
  }

  private void release(Connection connection) {
    connection.holder = null;
    if (scheduled) {
      idle.add(connection);
      serveWaiting();
    } else {
      handOver(connection);
    }
  }

  private Waiter firstOf(String organisation) {
    return queue.items(clock.nowNanos()).stream()
        .filter(waiter -> waiter.request.organisation().equals(organisation))
        .findFirst()
        .orElse(null);
  }

  private long countOf(String organisation) {
    return connections.stream().filter(each -> each.organisation.equals(organisation)).count();
  }

  private void handOver(Connection connection) {
    Waiter next =
        queue.poll(
            waiter -> waiter.request.organisation().equals(connection.organisation),
            clock.nowNanos());
    if (next != null) {
      refusals.recordServed(!queue.isEmpty());
      begin(connection, next.replayed);
      return;
    }
    idle.add(connection);
    serveWaiting();
  }

  private long openingCount() {
    return connections.stream().filter(each -> !each.open).count();
  }

  private OpeningPolicy.Decision decide(Waiter waiter) {
    String organisation = waiter.request.organisation();
    int open = 0;
    int opening = 0;
    for (Connection each : connections) {
      if (each.organisation.equals(organisation)) {
        open += each.open ? 1 : 0;
        opening += each.open ? 0 : 1;
      }
    }
    int waiting = queue.count(each -> each.request.organisation().equals(organisation));
    return OpeningPolicy.decide(
        new OpeningPolicy.Demand(open, opening, waiting, Integer.MAX_VALUE),
        connections.size() >= budget,
        clock.nowNanos() - waiter.request.sinceNanos());
  }

  private void openForWaiting() {
    for (Waiter next : queue.items(clock.nowNanos())) {
      if (openingCount() >= MAX_OPENING) {
        return;
      }
      OpeningPolicy.Decision decision = decide(next);
      if (decision == OpeningPolicy.Decision.REPLACE && !evictOne()) {
        return;
      }
      if (decision != OpeningPolicy.Decision.WAIT) {
        open(next.request.organisation());
      }
    }
  }

  private void open(String organisation) {
    Connection connection = new Connection(organisation);
    connections.add(connection);
    target.run(
        OPEN_NANOS,
        opened -> {
          if (scheduled) {
            window.giveBack();
          }
          if (opened) {
            connection.open = true;
            handOver(connection);
          } else {
            connections.remove(connection);
          }
          serveWaiting();
        });
  }

  private boolean evictOne() {
    if (idle.isEmpty()) {
      return false;
    }
    List<String> organisations = new ArrayList<>();
    idle.forEach(each -> organisations.add(each.organisation));
    connections.remove(idle.remove(evictor.selectVictim(organisations, clock.nowNanos())));
    return true;
  }

  private void endIdleTransactions() {
    List<IdleTransactionLimits.Held<Connection>> held = new ArrayList<>();
    for (Connection each : connections) {
      if (each.holder != null && each.holder.isTransaction()) {
        long lastUsedNanos = each.running ? clock.nowNanos() : each.holder.lastUsedNanos;
        held.add(new IdleTransactionLimits.Held<>(each.organisation, lastUsedNanos, each));
      }
    }
    List<Connection> excess = IdleTransactionLimits.excess(held, budget, clock.nowNanos());
    if (!excess.isEmpty()) {
      int lacking = queue.count(each -> decide(each) == OpeningPolicy.Decision.REPLACE);
      excess.stream().limit(lacking).forEach(this::release);
    }
  }

  private void tick() {
    for (Waiter late : queue.removeExpired(clock.nowNanos())) {
      refuseAfterWait(late.replayed);
    }
    serveWaiting();
    clock.after(TICK_NANOS, this::tick);
  }
}
