package io.hickorydrift.core.failover;

import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.core.routing.GroupView;
import io.hickorydrift.core.routing.TargetView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Watches the primary of one group and, together with the group's other observers, replaces it.
 *
 * <p>Safety rests on the targets alone: a majority of them accepts the fence of a term that only
 * this run owns before any target is promoted in it, and refuses every lower term from then on. An
 * observer that was paused, cut off or slow can therefore do no harm; clocks only decide when to
 * try.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class FailoverStateMachine {
  private static final int OBSERVERS_NEEDED = 2;

  private final String self;
  private final String failureDomain;
  private final GroupView view;
  private final FailoverSettings times;
  private final ProbeFailureDetector watch = new ProbeFailureDetector();
  private final Map<String, Long> suspectedAtNanos = new HashMap<>();
  private List<String> observers = List.of();
  private long reservedTerm;
  private long watchedTerm;
  private long nextProbeNanos = Long.MIN_VALUE;
  private long suspectedSinceNanos;
  private boolean suspecting;
  private boolean reserving;
  private boolean inUse = true;
  private Promotion promotion;
  private long backOffUntilNanos = Long.MIN_VALUE;

  /** An observer {@code self} in {@code failureDomain} of the group of {@code view}. */
  public FailoverStateMachine(
      String self, String failureDomain, GroupView view, FailoverSettings times) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.view = view;
    this.times = times;
  }

  /** Sets the group's live observers, ranked; this one is among them while it has the duty. */
  public void setObservers(List<String> ranked) {
    observers = List.copyOf(ranked);
  }

  /** Sets whether requests use the group; the primary of an idle one is probed less often. */
  public void setInUse(boolean newInUse, long nowNanos) {
    if (newInUse && !inUse) {
      nextProbeNanos = nowNanos;
    }
    inUse = newInUse;
  }

  /** Returns the term that this run owns for the next promotion, 0 for none. */
  public long reservedTerm() {
    return reservedTerm;
  }

  /** Returns whether this observer suspects the primary now. */
  public boolean suspectsPrimary() {
    return suspecting;
  }

  /** Moves time on. */
  public List<FailoverAction> tick(long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    followTerm();
    probe(nowNanos, actions);
    updateSuspicion(nowNanos, actions);
    if (promotion != null && nowNanos - promotion.startedNanos() > times.attemptTimeoutNanos()) {
      giveUpAttempt(nowNanos, actions);
    }
    if (promotion == null && mayPromote(nowNanos)) {
      startPromotion(nowNanos, actions);
    }
    reserveIfNeeded(actions);
    return actions;
  }

  /** A probe ended; {@code answer} is null if it failed. */
  public List<FailoverAction> onProbeResult(
      String target, TargetAnswer answer, boolean fresh, long nowNanos) {
    followTerm();
    if (target.equals(view.primary())) {
      boolean healthy = answer != null && target.equals(answer.primary());
      watch.recordProbe(healthy, fresh);
      if (!healthy) {
        nextProbeNanos = nowNanos + (fresh ? times.retryDelayNanos() : 0);
      }
    }
    return tick(nowNanos);
  }

  /** Another observer tells what it suspects. */
  public List<FailoverAction> onSuspicion(Suspicion suspicion, long nowNanos) {
    if (suspicion.suspected() && suspicion.term() == view.term()) {
      Long before = suspectedAtNanos.put(suspicion.observer(), nowNanos);
      boolean news = before == null || nowNanos - before > times.suspicionValidityNanos();
      if (news && !suspecting) {
        // An observer that nobody uses the group through probes too rarely to agree in time.
        watch.requireFreshProbe();
        nextProbeNanos = nowNanos;
      }
    } else {
      suspectedAtNanos.remove(suspicion.observer());
    }
    return tick(nowNanos);
  }

  /** The store gave this run a term of its own, or 0 if the try failed. */
  public void onTermReserved(long term) {
    reserving = false;
    if (term > reservedTerm) {
      reservedTerm = term;
    }
  }

  /** A fence was answered; {@code answer} is null if the exchange failed. */
  public List<FailoverAction> onFenceResult(
      String target, long term, TargetAnswer answer, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    if (promotion == null || promotion.term() != term || answer == null) {
      return actions;
    }
    if (answer.status() != TargetStatus.OK) {
      abandonTerm(nowNanos);
      return actions;
    }
    String chosen = promotion.recordFenced(target, answer.logged(), view);
    if (chosen != null) {
      promote(chosen, actions);
    }
    return actions;
  }

  /** A promotion was answered; {@code answer} is null if the exchange failed. */
  public List<FailoverAction> onPromoteResult(
      String target, long term, TargetAnswer answer, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    if (promotion == null || promotion.term() != term) {
      return actions;
    }
    promotion = null;
    if (answer == null || answer.status() != TargetStatus.OK) {
      backOffUntilNanos = nowNanos + times.retryDelayNanos();
      return actions;
    }
    view.recordTerm(term, target);
    followTerm();
    actions.add(new FailoverAction.PublishPrimary(new PrimaryNotice(view.group(), term, target)));
    reserveIfNeeded(actions);
    return actions;
  }

  private void followTerm() {
    if (view.term() == watchedTerm) {
      return;
    }
    watchedTerm = view.term();
    watch.reset();
    suspecting = false;
    suspectedAtNanos.clear();
    if (promotion != null && promotion.term() < watchedTerm) {
      promotion = null;
    }
  }

  private void probe(long nowNanos, List<FailoverAction> actions) {
    if (nextProbeNanos != Long.MIN_VALUE && nowNanos - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = nowNanos + times.probeIntervalNanos() + times.probeTimeoutNanos();
    TargetView primary = view.target(view.primary());
    long intervalNanos =
        inUse || watch.needsFreshProbe()
            ? times.probeIntervalNanos()
            : times.idleProbeIntervalNanos();
    if (primary != null && primary.answeredInTermWithin(times.probeIntervalNanos(), nowNanos)) {
      // Other exchanges have just shown that it lives.
      watch.recordProbe(true, false);
      nextProbeNanos = nowNanos + intervalNanos;
      return;
    }
    if (primary != null && !watch.suspectsPrimary()) {
      nextProbeNanos = nowNanos + intervalNanos;
      actions.add(new FailoverAction.Probe(view.primary(), watch.needsFreshProbe()));
      return;
    }
    for (TargetView target : view.targets()) {
      actions.add(new FailoverAction.Probe(target.id(), true));
    }
  }

  private void updateSuspicion(long nowNanos, List<FailoverAction> actions) {
    boolean suspects = watch.suspectsPrimary() || view.primary() == null || primaryLeaves();
    if (suspects && !suspecting) {
      suspectedSinceNanos = nowNanos;
    }
    boolean changed = suspects != suspecting;
    suspecting = suspects;
    if (suspects) {
      Long told = suspectedAtNanos.get(self);
      if (changed || told == null || nowNanos - told > times.suspicionValidityNanos() / 4) {
        suspectedAtNanos.put(self, nowNanos);
        actions.add(new FailoverAction.SendSuspicion(suspicion(true)));
      }
    } else if (changed) {
      suspectedAtNanos.remove(self);
      actions.add(new FailoverAction.SendSuspicion(suspicion(false)));
    }
  }

  private boolean primaryLeaves() {
    TargetView primary = view.target(view.primary());
    if (primary == null || !primary.leaving()) {
      return false;
    }
    for (TargetView target : view.targets()) {
      if (!target.leaving()) {
        return true;
      }
    }
    return false;
  }

  private Suspicion suspicion(boolean suspected) {
    return new Suspicion(view.group(), view.term(), self, failureDomain, suspected);
  }

  private boolean mayPromote(long nowNanos) {
    boolean backedOff = backOffUntilNanos != Long.MIN_VALUE && nowNanos - backOffUntilNanos < 0;
    if (!suspecting || backedOff || reservedTerm <= view.term()) {
      return false;
    }
    List<String> suspectors = new ArrayList<>();
    for (String observer : observers) {
      Long atNanos = suspectedAtNanos.get(observer);
      if (atNanos != null && nowNanos - atNanos <= times.suspicionValidityNanos()) {
        suspectors.add(observer);
      }
    }
    int needed = Math.min(OBSERVERS_NEEDED, observers.size());
    int rank = suspectors.indexOf(self);
    return rank >= 0
        && suspectors.size() >= needed
        && majorityReachable(nowNanos)
        && nowNanos - suspectedSinceNanos >= rank * times.rankDelayNanos();
  }

  /**
   * Returns whether enough targets answered lately for a fence to succeed. Without this, an
   * instance that is cut off would fence the targets on its side for nothing, and they would turn
   * away from a healthy primary once the cut heals.
   */
  private boolean majorityReachable(long nowNanos) {
    long withinNanos = 2 * (times.probeIntervalNanos() + times.probeTimeoutNanos());
    int reachable = 0;
    for (TargetView target : view.targets()) {
      reachable += target.answeredWithin(withinNanos, nowNanos) ? 1 : 0;
    }
    return reachable >= view.majority();
  }

  private void startPromotion(long nowNanos, List<FailoverAction> actions) {
    promotion = new Promotion(reservedTerm, nowNanos);
    reservedTerm = 0;
    for (TargetView target : view.targets()) {
      actions.add(new FailoverAction.Fence(target.id(), promotion.term()));
    }
  }

  private void promote(String chosen, List<FailoverAction> actions) {
    actions.add(new FailoverAction.Promote(chosen, promotion.term()));
  }

  private void giveUpAttempt(long nowNanos, List<FailoverAction> actions) {
    String chosen = promotion.chooseAfterTimeout(view);
    if (chosen != null) {
      promotion.restartTimeout(nowNanos);
      promote(chosen, actions);
      return;
    }
    abandonTerm(nowNanos);
  }

  private void abandonTerm(long nowNanos) {
    promotion = null;
    backOffUntilNanos = nowNanos + times.attemptTimeoutNanos();
  }

  private void reserveIfNeeded(List<FailoverAction> actions) {
    boolean onDuty = observers.contains(self);
    if (onDuty && !reserving && promotion == null && reservedTerm <= view.term()) {
      reserving = true;
      actions.add(new FailoverAction.ReserveTerm(view.term()));
    }
  }
}
