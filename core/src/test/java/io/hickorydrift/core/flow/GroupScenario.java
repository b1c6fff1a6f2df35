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
 * Three homes and three targets of one group under a seeded interleaving of messages, losses, cuts,
 * pauses and a store that fails or loses its answers. Keeps what callers were told.
 */
final class GroupScenario {
  private static final long MS = 1_000_000L;
  private static final int SIZE = 3;

  /** Faults that a case allows. */
  record Faults(
      double messageLoss,
      double linkCut,
      double pause,
      double storeOutage,
      double storeLosesAnswer) {
    static final Faults NONE = new Faults(0, 0, 0, 0, 0);
  }

  private record InFlight(
      int home, String target, TargetRequest request, Consumer<TargetAnswer> end) {}

  private static final class Home {
    private GroupView view;
    private FailoverStateMachine machine;
    private final Map<Flow, String> waiting = new HashMap<>();
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
  private final List<InFlight> requests = new ArrayList<>();
  private final List<Runnable> answers = new ArrayList<>();
  private final Set<String> cuts = new HashSet<>();
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

  /** Runs {@code steps} with faults, then heals everything and runs until all is quiet. */
  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
      injectFaults();
    }
    healed = true;
    cuts.clear();
    storeUp = true;
    homes.forEach(home -> home.pausedUntilNanos = 0);
    for (int i = 0; i < 6_000; i++) {
      step();
    }
  }

  /** Returns the log that survives: that of the primary with the highest term. */
  List<FakeTarget.Entry> survivingLog() {
    FakeTarget newest = null;
    for (FakeTarget target : targets.values()) {
      boolean leads = target.id.equals(target.primary);
      if (leads && (newest == null || target.term > newest.term)) {
        newest = target;
      }
    }
    return newest == null ? null : newest.log;
  }

  private void step() {
    nowNanos += random.nextInt(4) * MS;
    for (int i = 0; i < SIZE; i++) {
      if (!paused(homes.get(i))) {
        carryOut(i, homes.get(i).machine.tick(nowNanos));
        resume(i);
        poll(i);
      }
    }
    if (!healed && random.nextInt(4) == 0) {
      begin(random.nextInt(SIZE));
    }
    replicate();
    deliver();
  }

  private void poll(int number) {
    if (random.nextInt(8) == 0) {
      String target = List.of("a", "b", "c").get(random.nextInt(SIZE));
      TargetRequest status = request(TargetOp.STATUS, homes.get(number).view.term());
      send(number, target, status, answer -> {});
    }
  }

  private void injectFaults() {
    if (random.nextDouble() < faults.linkCut) {
      String link = "h" + random.nextInt(SIZE) + (char) ('a' + random.nextInt(SIZE));
      if (!cuts.remove(link)) {
        cuts.add(link);
      }
    }
    if (random.nextDouble() < faults.linkCut) {
      String link = "" + (char) ('a' + random.nextInt(SIZE)) + (char) ('a' + random.nextInt(SIZE));
      if (!cuts.remove(link)) {
        cuts.add(link);
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

  private void begin(int number) {
    Home home = homes.get(number);
    long deadlineNanos = nowNanos + 1_500 * MS;
    if (random.nextBoolean()) {
      String id = "w" + writes++;
      WriteRequest demand = new WriteRequest("o", "sql", List.of(), id, deadlineNanos);
      start(number, WriteFlow.write(home.view, demand), id);
    } else {
      ReadRequest demand =
          new ReadRequest("o", "sql", List.of(), session, -1, nowNanos, deadlineNanos);
      start(number, new ReadFlow(home.view, new FreshReplicaFirst(), demand), null);
    }
  }

  private void start(int number, Flow flow, String requestId) {
    Position needed = session;
    take(number, flow, requestId, needed, flow.start(nowNanos));
  }

  private void take(int number, Flow flow, String id, Position needed, Step step) {
    if (step instanceof Step.SendRequest ask) {
      homes.get(number).waiting.remove(flow);
      send(
          number,
          ask.target(),
          ask.request(),
          answer -> answered(number, flow, id, needed, ask, answer));
    } else if (step instanceof Step.Wait) {
      homes.get(number).waiting.put(flow, id);
    } else if (step instanceof Step.Finish finish) {
      homes.get(number).waiting.remove(flow);
      finished(id, needed, finish.answer());
    }
  }

  private void answered(
      int number,
      Flow flow,
      String id,
      Position needed,
      Step.SendRequest ask,
      TargetAnswer answer) {
    Step next =
        answer == null
            ? flow.onFailure(ask.target(), ExchangeFailure.NO_ANSWER, nowNanos)
            : flow.onAnswer(ask.target(), answer, nowNanos, nowNanos);
    take(number, flow, id, needed, next);
  }

  private void resume(int number) {
    for (Map.Entry<Flow, String> waiting : new ArrayList<>(homes.get(number).waiting.entrySet())) {
      Flow flow = waiting.getKey();
      take(number, flow, waiting.getValue(), Positions.START, flow.resume(nowNanos));
    }
  }

  private void finished(String id, Position needed, ForwardAnswer answer) {
    ResultCode code = ResultCode.of(answer.code());
    if (id == null) {
      if (code == ResultCode.OK) {
        readsServed++;
        if (!Positions.reaches(answer.servedAt(), needed)) {
          violations.add("read at " + answer.servedAt() + " for session at " + needed);
        }
      }
    } else if (code == ResultCode.OK) {
      acknowledged.add(id);
      session = Positions.later(session, answer.position());
    } else if (code.outcome() == Outcome.NOT_RUN) {
      refused.add(id);
    }
  }

  private void carryOut(int number, List<FailoverAction> actions) {
    Home home = homes.get(number);
    for (FailoverAction action : actions) {
      if (action instanceof FailoverAction.Probe probe) {
        TargetRequest request = request(TargetOp.STATUS, home.view.term());
        send(
            number,
            probe.target(),
            request,
            answer ->
                carryOut(
                    number,
                    home.machine.onProbeResult(
                        probe.target(), answer, probe.freshConnection(), nowNanos)));
      } else if (action instanceof FailoverAction.Fence fence) {
        send(
            number,
            fence.target(),
            request(TargetOp.FENCE, fence.term()),
            answer ->
                carryOut(
                    number,
                    home.machine.onFenceResult(fence.target(), fence.term(), answer, nowNanos)));
      } else if (action instanceof FailoverAction.Promote promote) {
        send(
            number,
            promote.target(),
            request(TargetOp.PROMOTE, promote.term()),
            answer ->
                carryOut(
                    number,
                    home.machine.onPromoteResult(
                        promote.target(), promote.term(), answer, nowNanos)));
      } else if (action instanceof FailoverAction.SendSuspicion tell) {
        tell(number, tell.suspicion());
      } else if (action instanceof FailoverAction.ReserveTerm reserve) {
        reserve(home, reserve.aboveTerm());
      }
    }
  }

  private void tell(int from, Suspicion suspicion) {
    for (int i = 0; i < SIZE; i++) {
      int to = i;
      if (to != from && random.nextDouble() >= faults.messageLoss) {
        answers.add(() -> carryOut(to, homes.get(to).machine.onSuspicion(suspicion, nowNanos)));
      }
    }
  }

  private void reserve(Home home, long above) {
    if (!storeUp) {
      answers.add(() -> home.machine.onTermReserved(0));
      return;
    }
    highestReserved = Math.max(highestReserved, above) + 1;
    long term = highestReserved;
    boolean lost = random.nextDouble() < faults.storeLosesAnswer;
    answers.add(() -> home.machine.onTermReserved(lost ? 0 : term));
  }

  private void send(int number, String target, TargetRequest request, Consumer<TargetAnswer> end) {
    requests.add(new InFlight(number, target, request, end));
  }

  private void replicate() {
    for (FakeTarget from : targets.values()) {
      for (FakeTarget to : targets.values()) {
        if (from != to && !cuts.contains(from.id + to.id) && random.nextInt(3) == 0) {
          to.replicateFrom(from, 1 + random.nextInt(3));
        }
      }
    }
  }

  private void deliver() {
    List<InFlight> due = new ArrayList<>();
    requests.removeIf(request -> random.nextInt(3) == 0 && due.add(request));
    for (InFlight request : due) {
      exchange(request);
    }
    List<Runnable> arriving = new ArrayList<>();
    answers.removeIf(answer -> random.nextInt(3) == 0 && arriving.add(answer));
    arriving.forEach(Runnable::run);
  }

  private void exchange(InFlight request) {
    Home home = homes.get(request.home);
    boolean cut = cuts.contains("h" + request.home + request.target);
    boolean lost = !healed && random.nextDouble() < faults.messageLoss;
    if (cut || lost && random.nextBoolean()) {
      answers.add(() -> request.end.accept(null));
      return;
    }
    FakeTarget target = targets.get(request.target);
    TargetAnswer answer = target.exchange(request.request);
    if (target.id.equals(target.primary)) {
      primariesByTerm.computeIfAbsent(target.term, term -> new HashSet<>()).add(target.id);
    }
    long sentNanos = nowNanos;
    answers.add(
        () -> {
          if (!lost) {
            home.view.recordAnswer(request.target, answer, sentNanos);
          }
          request.end.accept(lost ? null : answer);
        });
  }

  private static TargetRequest request(TargetOp op, long term) {
    return TargetRequest.builder().op(op).term(term).build();
  }
}
