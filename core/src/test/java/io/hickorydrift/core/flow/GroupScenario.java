package io.hickorydrift.core.flow;

import io.hickorydrift.core.error.Outcome;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.failover.FailoverAction;
import io.hickorydrift.core.failover.FailoverSettings;
import io.hickorydrift.core.failover.FailoverStateMachine;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.routing.FreshReplicaFirst;
import io.hickorydrift.core.routing.GroupView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Three homes and three targets of one group under a seeded interleaving of messages, message loss,
 * partitions, process pauses and a store that fails or loses its responses. Records the results
 * that callers received.
 */
final class GroupScenario {
  private static final long MS = 1_000_000L;
  private static final int SIZE = 3;

  /** Probabilities of the faults that a case injects. */
  record Faults(
      double messageLoss,
      double linkCut,
      double pause,
      double storeOutage,
      double storeLosesAnswer) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);
  }

  private record InFlightRequest(
      int home, String target, TargetRequest request, Consumer<TargetAnswer> onEnd) {}

  private static final class Home {
    private GroupView view;
    private FailoverStateMachine machine;
    private final Map<Flow, String> waitingFlows = new HashMap<>();
    private long pausedUntilNanos;
  }

  final Map<String, FakeTarget> targets = new HashMap<>();
  final Set<String> acknowledged = new HashSet<>();
  final Set<String> refused = new HashSet<>();
  final List<String> violations = new ArrayList<>();
  final Map<Long, Set<String>> primariesByTerm = new HashMap<>();
  int readsServed;

  private final Random random;
  private final Faults faults;
  private final List<Home> homes = new ArrayList<>();
  private final List<InFlightRequest> requests = new ArrayList<>();
  private final List<Runnable> pendingDeliveries = new ArrayList<>();
  private final Set<String> cutLinks = new HashSet<>();
  private boolean storeUp = true;
  private long highestReserved;
  private long nowNanos;
  private int writes;
  private Position session = Positions.START;
  private boolean healed;

  GroupScenario(long seed, Faults faults) {
    random = new Random(seed);
    this.faults = faults;
    List<String> ids = List.of("a", "b", "c");
    ids.forEach(id -> targets.put(id, new FakeTarget(id)));
    List<String> names = List.of("h0", "h1", "h2");
    for (String name : names) {
      Home home = new Home();
      home.view = new GroupView("g", ids);
      home.machine =
          new FailoverStateMachine(name, "d-" + name, home.view, FailoverSettings.STANDARD);
      home.machine.setObservers(names);
      homes.add(home);
    }
  }

  /**
   * Runs {@code steps} with faults, then clears all faults and runs fault-free steps until all
   * requests have ended.
   */
  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
      injectFaults();
    }
    healed = true;
    cutLinks.clear();
    storeUp = true;
    homes.forEach(home -> home.pausedUntilNanos = 0);
    for (int i = 0; i < 6_000; i++) {
      step();
    }
  }

  /** Returns the surviving log: that of the primary with the highest term, or null. */
  List<FakeTarget.Entry> survivingLog() {
    FakeTarget newest = null;
    for (FakeTarget target : targets.values()) {
      boolean isPrimary = target.id.equals(target.primary);
      if (isPrimary && (newest == null || target.term > newest.term)) {
        newest = target;
      }
    }
    return newest == null ? null : newest.log;
  }

  private void step() {
    nowNanos += random.nextInt(4) * MS;
    for (int i = 0; i < SIZE; i++) {
      if (!paused(homes.get(i))) {
        execute(i, homes.get(i).machine.tick(nowNanos));
        resume(i);
        pollRandomTarget(i);
      }
    }
    if (!healed && random.nextInt(4) == 0) {
      beginRequest(random.nextInt(SIZE));
    }
    replicate();
    deliver();
  }

  private void pollRandomTarget(int homeIndex) {
    if (random.nextInt(8) == 0) {
      String target = List.of("a", "b", "c").get(random.nextInt(SIZE));
      TargetRequest status = request(TargetOp.STATUS, homes.get(homeIndex).view.term());
      send(homeIndex, target, status, answer -> {});
    }
  }

  private void injectFaults() {
    if (random.nextDouble() < faults.linkCut) {
      String link = "h" + random.nextInt(SIZE) + (char) ('a' + random.nextInt(SIZE));
      if (!cutLinks.remove(link)) {
        cutLinks.add(link);
      }
    }
    if (random.nextDouble() < faults.linkCut) {
      String link = "" + (char) ('a' + random.nextInt(SIZE)) + (char) ('a' + random.nextInt(SIZE));
      if (!cutLinks.remove(link)) {
        cutLinks.add(link);
      }
    }
    if (random.nextDouble() < faults.pause) {
      homes.get(random.nextInt(SIZE)).pausedUntilNanos = nowNanos + random.nextInt(3_000) * MS;
    }
    if (random.nextDouble() < faults.storeOutage) {
      storeUp = !storeUp;
    }
  }

  private boolean paused(Home home) {
    return nowNanos < home.pausedUntilNanos;
  }

  private void beginRequest(int homeIndex) {
    Home home = homes.get(homeIndex);
    long deadlineNanos = nowNanos + 1_500 * MS;
    if (random.nextBoolean()) {
      String id = "w" + writes++;
      WriteRequest request = new WriteRequest("o", "sql", List.of(), id, deadlineNanos);
      start(homeIndex, WriteFlow.write(home.view, request), id);
    } else {
      ReadRequest request =
          new ReadRequest("o", "sql", List.of(), session, -1, nowNanos, deadlineNanos);
      start(homeIndex, new ReadFlow(home.view, new FreshReplicaFirst(), request), null);
    }
  }

  private void start(int homeIndex, Flow flow, String requestId) {
    Position requiredPosition = session;
    applyStep(homeIndex, flow, requestId, requiredPosition, flow.start(nowNanos));
  }

  private void applyStep(
      int homeIndex, Flow flow, String id, Position requiredPosition, Step step) {
    if (step instanceof Step.SendRequest sendRequest) {
      homes.get(homeIndex).waitingFlows.remove(flow);
      send(
          homeIndex,
          sendRequest.target(),
          sendRequest.request(),
          answer -> answered(homeIndex, flow, id, requiredPosition, sendRequest, answer));
    } else if (step instanceof Step.Wait) {
      homes.get(homeIndex).waitingFlows.put(flow, id);
    } else if (step instanceof Step.Finish finish) {
      homes.get(homeIndex).waitingFlows.remove(flow);
      recordResult(id, requiredPosition, finish.answer());
    }
  }

  private void answered(
      int homeIndex,
      Flow flow,
      String id,
      Position requiredPosition,
      Step.SendRequest sendRequest,
      TargetAnswer answer) {
    Step next =
        answer == null
            ? flow.onFailure(sendRequest.target(), ExchangeFailure.NO_ANSWER, nowNanos)
            : flow.onAnswer(sendRequest.target(), answer, nowNanos, nowNanos);
    applyStep(homeIndex, flow, id, requiredPosition, next);
  }

  private void resume(int homeIndex) {
    for (Map.Entry<Flow, String> waitingFlow :
        new ArrayList<>(homes.get(homeIndex).waitingFlows.entrySet())) {
      Flow flow = waitingFlow.getKey();
      applyStep(homeIndex, flow, waitingFlow.getValue(), Positions.START, flow.resume(nowNanos));
    }
  }

  private void recordResult(String id, Position requiredPosition, ForwardAnswer answer) {
    ResultCode code = ResultCode.of(answer.code());
    if (id == null) {
      if (code == ResultCode.OK) {
        readsServed++;
        if (!Positions.reaches(answer.servedAt(), requiredPosition)) {
          violations.add("read at " + answer.servedAt() + " for session at " + requiredPosition);
        }
      }
    } else if (code == ResultCode.OK) {
      acknowledged.add(id);
      session = Positions.later(session, answer.position());
    } else if (code.outcome() == Outcome.NOT_RUN) {
      refused.add(id);
    }
  }

  private void execute(int homeIndex, List<FailoverAction> actions) {
    Home home = homes.get(homeIndex);
    for (FailoverAction action : actions) {
      if (action instanceof FailoverAction.Probe probe) {
        TargetRequest request = request(TargetOp.STATUS, home.view.term());
        send(
            homeIndex,
            probe.target(),
            request,
            answer ->
                execute(
                    homeIndex,
                    home.machine.onProbeResult(
                        probe.target(), answer, probe.freshConnection(), nowNanos)));
      } else if (action instanceof FailoverAction.Fence fence) {
        send(
            homeIndex,
            fence.target(),
            request(TargetOp.FENCE, fence.term()),
            answer ->
                execute(
                    homeIndex,
                    home.machine.onFenceResult(fence.target(), fence.term(), answer, nowNanos)));
      } else if (action instanceof FailoverAction.Promote promote) {
        send(
            homeIndex,
            promote.target(),
            request(TargetOp.PROMOTE, promote.term()),
            answer ->
                execute(
                    homeIndex,
                    home.machine.onPromoteResult(
                        promote.target(), promote.term(), answer, nowNanos)));
      } else if (action instanceof FailoverAction.SendSuspicion sendSuspicion) {
        sendSuspicion(homeIndex, sendSuspicion.suspicion());
      } else if (action instanceof FailoverAction.ReserveTerm reserveTerm) {
        reserveTerm(home, reserveTerm.aboveTerm());
      }
    }
  }

  private void sendSuspicion(int from, Suspicion suspicion) {
    for (int i = 0; i < SIZE; i++) {
      int to = i;
      if (to != from && random.nextDouble() >= faults.messageLoss) {
        pendingDeliveries.add(
            () -> execute(to, homes.get(to).machine.onSuspicion(suspicion, nowNanos)));
      }
    }
  }

  private void reserveTerm(Home home, long above) {
    if (!storeUp) {
      pendingDeliveries.add(() -> home.machine.onTermReserved(0));
      return;
    }
    highestReserved = Math.max(highestReserved, above) + 1;
    long term = highestReserved;
    boolean lost = random.nextDouble() < faults.storeLosesAnswer;
    pendingDeliveries.add(() -> home.machine.onTermReserved(lost ? 0 : term));
  }

  private void send(
      int homeIndex, String target, TargetRequest request, Consumer<TargetAnswer> onEnd) {
    requests.add(new InFlightRequest(homeIndex, target, request, onEnd));
  }

  private void replicate() {
    for (FakeTarget from : targets.values()) {
      for (FakeTarget to : targets.values()) {
        if (from != to && !cutLinks.contains(from.id + to.id) && random.nextInt(3) == 0) {
          to.replicateFrom(from, 1 + random.nextInt(3));
        }
      }
    }
  }

  private void deliver() {
    List<InFlightRequest> arrivingRequests = new ArrayList<>();
    requests.removeIf(request -> random.nextInt(3) == 0 && arrivingRequests.add(request));
    for (InFlightRequest request : arrivingRequests) {
      exchange(request);
    }
    List<Runnable> arrivingDeliveries = new ArrayList<>();
    pendingDeliveries.removeIf(
        delivery -> random.nextInt(3) == 0 && arrivingDeliveries.add(delivery));
    arrivingDeliveries.forEach(Runnable::run);
  }

  private void exchange(InFlightRequest request) {
    Home home = homes.get(request.home);
    boolean cut = cutLinks.contains("h" + request.home + request.target);
    boolean lost = !healed && random.nextDouble() < faults.messageLoss;
    if (cut || lost && random.nextBoolean()) {
      pendingDeliveries.add(() -> request.onEnd.accept(null));
      return;
    }
    FakeTarget target = targets.get(request.target);
    TargetAnswer answer = target.exchange(request.request);
    if (target.id.equals(target.primary)) {
      primariesByTerm.computeIfAbsent(target.term, term -> new HashSet<>()).add(target.id);
    }
    long sentNanos = nowNanos;
    pendingDeliveries.add(
        () -> {
          if (!lost) {
            home.view.recordAnswer(request.target, answer, sentNanos);
          }
          request.onEnd.accept(lost ? null : answer);
        });
  }

  private static TargetRequest request(TargetOp op, long term) {
    return TargetRequest.builder().op(op).term(term).build();
  }
}
