package io.hickorydrift.proxy.home;

import io.hickorydrift.core.failover.FailoverAction;
import io.hickorydrift.core.failover.FailoverSettings;
import io.hickorydrift.core.failover.FailoverStateMachine;
import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.message.TargetOp;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.proxy.runtime.Worker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Executes the actions of one group's failover state machine: probes, fences, promotions and
 * messages to the group's other observers.
 *
 * <p>Thread safety: confined to the home worker.
 */
final class GroupObserver {
  private static final long TERM_RESERVATION_RETRY_MS = 500;

  private final HomeGroup home;
  private final FailoverStateMachine machine;
  private final FailoverSettings settings;
  private final ObserverPort port;
  private final Worker worker;
  private List<String> observers = List.of();
  private long reservationRetryNanos = Long.MIN_VALUE;

  GroupObserver(
      String instance,
      String failureDomain,
      HomeGroup home,
      FailoverSettings settings,
      ObserverPort port,
      Worker worker) {
    this.home = home;
    this.settings = settings;
    this.port = port;
    this.worker = worker;
    machine = new FailoverStateMachine(instance, failureDomain, home.view(), settings);
    // Polls share the control connection with probes and can keep it busy while the target is
    // unreachable, so an unanswered poll counts as a failed probe.
    home.setUnansweredPollListener(
        target -> execute(machine.onProbeResult(target, null, false, System.nanoTime())));
  }

  void setObservers(List<String> live) {
    observers = live;
    machine.setObservers(live);
  }

  boolean suspectsPrimary() {
    return machine.suspectsPrimary();
  }

  void tick(long nowNanos) {
    if (reservationRetryNanos != Long.MIN_VALUE && nowNanos - reservationRetryNanos >= 0) {
      reservationRetryNanos = Long.MIN_VALUE;
      machine.onTermReserved(0);
    }
    machine.setInUse(home.inUse(nowNanos), nowNanos);
    execute(machine.tick(nowNanos));
  }

  void onSuspicion(Suspicion suspicion) {
    execute(machine.onSuspicion(suspicion, System.nanoTime()));
  }

  private void execute(List<FailoverAction> actions) {
    for (FailoverAction action : actions) {
      if (action instanceof FailoverAction.Probe probe) {
        probe(probe);
      } else if (action instanceof FailoverAction.SendSuspicion send) {
        port.sendSuspicion(observers, send.suspicion());
      } else if (action instanceof FailoverAction.Fence fence) {
        fence(fence);
      } else if (action instanceof FailoverAction.Promote promote) {
        promote(promote);
      } else if (action instanceof FailoverAction.PublishPrimary publication) {
        Logger.info(
            "event=primary_changed group={} term={} primary={}",
            publication.notice().group(),
            publication.notice().term(),
            publication.notice().primary());
        port.publishPrimary(observers, publication.notice());
      } else if (action instanceof FailoverAction.ReserveTerm reservation) {
        port.reserveTerm(home.group().name(), reservation.aboveTerm(), this::onTermReserved);
      }
    }
  }

  private void onTermReserved(long term) {
    worker.submit(
        () -> {
          if (term > 0) {
            machine.onTermReserved(term);
          } else {
            reservationRetryNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERM_RESERVATION_RETRY_MS);
          }
        });
  }

  private void probe(FailoverAction.Probe probe) {
    TargetRequest request = request(TargetOp.STATUS, home.view().term());
    home.channel(probe.target())
        .exchange(
            request,
            probe.freshConnection(),
            TimeUnit.NANOSECONDS.toMillis(settings.probeTimeoutNanos()),
            (answer, sentNanos) -> {
              long nowNanos = System.nanoTime();
              if (answer != null) {
                home.onTargetAnswer(probe.target(), answer, sentNanos, nowNanos);
              }
              execute(
                  machine.onProbeResult(probe.target(), answer, probe.freshConnection(), nowNanos));
            });
  }

  private void fence(FailoverAction.Fence fence) {
    home.channel(fence.target())
        .exchange(
            request(TargetOp.FENCE, fence.term()),
            true,
            TimeUnit.NANOSECONDS.toMillis(settings.attemptTimeoutNanos()),
            (answer, sentNanos) -> {
              long nowNanos = System.nanoTime();
              if (answer != null) {
                home.onTargetAnswer(fence.target(), answer, sentNanos, nowNanos);
              }
              execute(machine.onFenceResult(fence.target(), fence.term(), answer, nowNanos));
            });
  }

  private void promote(FailoverAction.Promote promote) {
    home.channel(promote.target())
        .exchange(
            request(TargetOp.PROMOTE, promote.term()),
            true,
            TimeUnit.NANOSECONDS.toMillis(settings.attemptTimeoutNanos()),
            (answer, sentNanos) -> {
              long nowNanos = System.nanoTime();
              if (answer != null) {
                home.onTargetAnswer(promote.target(), answer, sentNanos, nowNanos);
              }
              execute(machine.onPromoteResult(promote.target(), promote.term(), answer, nowNanos));
            });
  }

  private static TargetRequest request(TargetOp op, long term) {
    return TargetRequest.builder().op(op).term(term).build();
  }
}
