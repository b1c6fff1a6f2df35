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
 * State machine of one observer that monitors the primary of a group and, together with the group's
 * other observers, replaces a failed one.
 *
 * <p>Safety depends on the targets only: before any target is promoted in a term, a majority of
 * them has accepted the fence of that term, which is reserved for this run alone, and refuses every
 * lower term from then on. An observer that was paused, partitioned or slow therefore cannot
 * violate safety; clocks only determine when a promotion is attempted.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class FailoverStateMachine {
  private static final int MIN_SUSPECTING_OBSERVERS = 2;
  // Many times the delay of a message between instances.
  private static final long SUSPICION_EXCHANGE_NANOS = 100_000_000L;
  // Time after its start within which an instance has received the heartbeats of all others.
  private static final long ALONE_SETTLE_NANOS = 1_500_000_000L;

  private final String self;
  private final String failureDomain;
  private final GroupView view;
  private final FailoverSettings settings;
  private final ProbeFailureDetector detector = new ProbeFailureDetector();
  private final Map<String, Long> suspectedAtNanos = new HashMap<>();
  private List<String> observers = List.of();
  private long aloneSinceNanos = Long.MIN_VALUE;
  private long reservedTerm;
  private long detectorTerm;
  private long nextProbeNanos = Long.MIN_VALUE;
  private long suspectedSinceNanos;
  private long primaryUnknownSinceNanos = Long.MIN_VALUE;
  private boolean suspectsPrimary;
  private boolean reservationPending;
  private boolean inUse = true;
  private Promotion promotion;
  private long backOffUntilNanos = Long.MIN_VALUE;

  /** Creates the observer {@code self} in {@code failureDomain} for the group of {@code view}. */
  public FailoverStateMachine(
      String self, String failureDomain, GroupView view, FailoverSettings settings) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.view = view;
    this.settings = settings;
  }

  /**
   * Sets the group's live observers in order of rank; they include this instance while it is an
   * observer of the group.
   */
  public void setObservers(List<String> ranked) {
    observers = List.copyOf(ranked);
  }

  /** Sets whether requests use the group; the primary of an idle group is probed less often. */
  public void setInUse(boolean newInUse, long nowNanos) {
    if (newInUse && !inUse) {
      nextProbeNanos = nowNanos;
    }
    inUse = newInUse;
  }

  /** Returns the term reserved for the next promotion, or 0 if none is. */
  public long reservedTerm() {
    return reservedTerm;
  }

  /** Returns whether this observer currently suspects the primary. */
  public boolean suspectsPrimary() {
    return suspectsPrimary;
  }

  /** Advances time to {@code nowNanos}. */
  public List<FailoverAction> tick(long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    resetOnNewTerm();
    updateAlone(nowNanos);
    probe(nowNanos, actions);
    updateSuspicion(nowNanos, actions);
    if (promotion != null && nowNanos - promotion.startedNanos() > settings.attemptTimeoutNanos()) {
      onAttemptTimeout(nowNanos, actions);
    }
    if (promotion == null && mayPromote(nowNanos)) {
      startPromotion(nowNanos, actions);
    }
    reserveTermIfNeeded(actions);
    return actions;
  }

  /** Handles the end of a probe; {@code answer} is null if it failed. */
  public List<FailoverAction> onProbeResult(
      String target, TargetAnswer answer, boolean fresh, long nowNanos) {
    resetOnNewTerm();
    if (target.equals(view.primary())) {
      boolean healthy = answer != null && target.equals(answer.primary());
      detector.recordProbe(healthy, fresh);
      if (!healthy) {
        nextProbeNanos = nowNanos + (fresh ? settings.retryDelayNanos() : 0);
      }
    }
    return tick(nowNanos);
  }

  /** Handles a suspicion, or its withdrawal, from another observer. */
  public List<FailoverAction> onSuspicion(Suspicion suspicion, long nowNanos) {
    if (suspicion.suspected() && suspicion.term() == view.term()) {
      Long previousNanos = suspectedAtNanos.put(suspicion.observer(), nowNanos);
      boolean newSuspicion =
          previousNanos == null || nowNanos - previousNanos > settings.suspicionValidityNanos();
      if (newSuspicion && !suspectsPrimary) {
        // For an idle group this observer probes too rarely to confirm the suspicion in time.
        detector.requireFreshProbe();
        nextProbeNanos = nowNanos;
      }
    } else {
      suspectedAtNanos.remove(suspicion.observer());
    }
    return tick(nowNanos);
  }

  /** Handles the end of a term reservation; {@code term} is 0 if it failed. */
  public void onTermReserved(long term) {
    reservationPending = false;
    if (term > reservedTerm) {
      reservedTerm = term;
    }
  }

  /** Handles the end of a fence exchange; {@code answer} is null if it failed. */
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

  /** Handles the end of a promote exchange; {@code answer} is null if it failed. */
  public List<FailoverAction> onPromoteResult(
      String target, long term, TargetAnswer answer, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    if (promotion == null || promotion.term() != term) {
      return actions;
    }
    promotion = null;
    if (answer == null || answer.status() != TargetStatus.OK) {
      backOffUntilNanos = nowNanos + settings.retryDelayNanos();
      return actions;
    }
    view.recordTerm(term, target);
    resetOnNewTerm();
    actions.add(new FailoverAction.PublishPrimary(new PrimaryNotice(view.group(), term, target)));
    reserveTermIfNeeded(actions);
    return actions;
  }

  private void resetOnNewTerm() {
    if (view.term() == detectorTerm) {
      return;
    }
    detectorTerm = view.term();
    detector.reset();
    primaryUnknownSinceNanos = Long.MIN_VALUE;
    suspectsPrimary = false;
    suspectedAtNanos.clear();
    if (promotion != null && promotion.term() < detectorTerm) {
      promotion = null;
    }
  }

  private void probe(long nowNanos, List<FailoverAction> actions) {
    if (nextProbeNanos != Long.MIN_VALUE && nowNanos - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = nowNanos + settings.probeIntervalNanos() + settings.probeTimeoutNanos();
    TargetView primary = view.target(view.primary());
    long intervalNanos =
        inUse || detector.needsFreshProbe()
            ? settings.probeIntervalNanos()
            : settings.idleProbeIntervalNanos();
    if (primary != null && primary.answeredInTermWithin(settings.probeIntervalNanos(), nowNanos)) {
      // A recent answer to another exchange already shows that the primary is alive.
      detector.recordProbe(true, false);
      nextProbeNanos = nowNanos + intervalNanos;
      return;
    }
    if (primary != null && !detector.suspectsPrimary()) {
      nextProbeNanos = nowNanos + intervalNanos;
      actions.add(new FailoverAction.Probe(view.primary(), detector.needsFreshProbe()));
      return;
    }
    for (TargetView target : view.targets()) {
      actions.add(new FailoverAction.Probe(target.id(), true));
    }
  }

  private void updateSuspicion(long nowNanos, List<FailoverAction> actions) {
    boolean suspects =
        detector.suspectsPrimary() || primaryStaysUnknown(nowNanos) || primaryIsLeaving();
    if (suspects && !suspectsPrimary) {
      suspectedSinceNanos = nowNanos;
    }
    boolean changed = suspects != suspectsPrimary;
    suspectsPrimary = suspects;
    if (suspects) {
      Long lastSentNanos = suspectedAtNanos.get(self);
      if (changed
          || lastSentNanos == null
          || nowNanos - lastSentNanos > settings.suspicionValidityNanos() / 4) {
        suspectedAtNanos.put(self, nowNanos);
        actions.add(new FailoverAction.SendSuspicion(suspicion(true)));
      }
    } else if (changed) {
      suspectedAtNanos.remove(self);
      actions.add(new FailoverAction.SendSuspicion(suspicion(false)));
    }
  }

  /**
   * Returns whether no primary of the current term has become known for as long as an attempt may
   * take. Until then another observer may be about to promote one, or this one has just started and
   * the targets' first answers are on their way.
   */
  private boolean primaryStaysUnknown(long nowNanos) {
    if (view.primary() != null) {
      primaryUnknownSinceNanos = Long.MIN_VALUE;
      return false;
    }
    if (primaryUnknownSinceNanos == Long.MIN_VALUE) {
      primaryUnknownSinceNanos = nowNanos;
    }
    return nowNanos - primaryUnknownSinceNanos >= settings.attemptTimeoutNanos();
  }

  private boolean primaryIsLeaving() {
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

  private void updateAlone(long nowNanos) {
    if (observers.size() > 1) {
      aloneSinceNanos = Long.MIN_VALUE;
    } else if (aloneSinceNanos == Long.MIN_VALUE) {
      aloneSinceNanos = nowNanos;
    }
  }

  /**
   * Returns whether this observer may be the only one just because it has not heard of the others
   * yet. Each instance of a fleet that starts would promote a primary of its own.
   */
  private boolean mayHaveUnknownObservers(long nowNanos) {
    return aloneSinceNanos != Long.MIN_VALUE && nowNanos - aloneSinceNanos < ALONE_SETTLE_NANOS;
  }

  private boolean mayPromote(long nowNanos) {
    boolean backingOff = backOffUntilNanos != Long.MIN_VALUE && nowNanos - backOffUntilNanos < 0;
    if (!suspectsPrimary || backingOff || reservedTerm <= view.term()) {
      return false;
    }
    if (mayHaveUnknownObservers(nowNanos)) {
      return false;
    }
    List<String> suspectingObservers = new ArrayList<>();
    for (String observer : observers) {
      Long atNanos = suspectedAtNanos.get(observer);
      if (atNanos != null && nowNanos - atNanos <= settings.suspicionValidityNanos()) {
        suspectingObservers.add(observer);
      }
    }
    int needed = Math.min(MIN_SUSPECTING_OBSERVERS, observers.size());
    int rank = suspectingObservers.indexOf(self);
    return rank >= 0
        && suspectingObservers.size() >= needed
        && majorityReachable(nowNanos)
        && nowNanos - suspectedSinceNanos >= promotionDelayNanos(rank);
  }

  /**
   * Returns how long this observer leaves the promotion to those of higher rank. Observers suspect
   * an unknown primary at the same moment; one that is not the first of them has to wait until the
   * others' suspicions have arrived before it knows its rank among them.
   */
  private long promotionDelayNanos(int rank) {
    boolean first = observers.get(0).equals(self);
    return rank * settings.rankDelayNanos() + (first ? 0 : SUSPICION_EXCHANGE_NANOS);
  }

  /**
   * Returns whether enough targets answered recently for a fence to succeed. Without this check, a
   * partitioned instance would fence the targets on its side in vain, and those would reject a
   * healthy primary once the partition heals.
   */
  private boolean majorityReachable(long nowNanos) {
    long withinNanos = 2 * (settings.probeIntervalNanos() + settings.probeTimeoutNanos());
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

  private void onAttemptTimeout(long nowNanos, List<FailoverAction> actions) {
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
    backOffUntilNanos = nowNanos + settings.attemptTimeoutNanos();
  }

  private void reserveTermIfNeeded(List<FailoverAction> actions) {
    boolean isObserver = observers.contains(self);
    if (isObserver && !reservationPending && promotion == null && reservedTerm <= view.term()) {
      reservationPending = true;
      actions.add(new FailoverAction.ReserveTerm(view.term()));
    }
  }
}
