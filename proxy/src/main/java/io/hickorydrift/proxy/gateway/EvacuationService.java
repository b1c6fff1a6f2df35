package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Applies the store's items of evacuations to {@link Evacuations}, and ends the transactions that
 * are open in an evacuated domain when their time is over.
 *
 * <p>Invariant: an item that names no failure domain affects no other. Thread safety: confined to
 * the loop's thread.
 */
final class EvacuationService {
  // An evacuation lasts for minutes; callers that return sooner find the same state.
  private static final long RETRY_MS = 1_000;

  private final EventLoop loop;
  private final String keyPrefix;
  private final Evacuations evacuations;
  private final Metrics metrics;
  private final Set<LocalTransaction> openTransactions = new HashSet<>();
  private long graceNanos;
  private Runnable onChange = () -> {};

  /**
   * Creates a service without evacuations.
   *
   * @param graceMs time that open transactions have to end, from the news of an evacuation
   */
  EvacuationService(
      EventLoop loop,
      PlatformAdapter platform,
      Evacuations evacuations,
      Metrics metrics,
      long graceMs) {
    this.loop = loop;
    keyPrefix = platform.evacuationsPrefix();
    this.evacuations = evacuations;
    this.metrics = metrics;
    setGraceMs(graceMs);
    metrics.registerGauge(
        "evacuated_domains",
        "Failure domains whose targets get no new work",
        () -> evacuations.domains().size());
  }

  /**
   * Runs {@code action} after each change, so that statements which arrive right after it find what
   * follows from it.
   */
  void onChange(Runnable action) {
    onChange = action;
  }

  /** Sets the time that open transactions have to end, from the news of an evacuation. */
  void setGraceMs(long graceMs) {
    graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMs);
  }

  /** Returns whether {@code key} is that of an evacuation. */
  boolean ownsKey(String key) {
    return key.startsWith(keyPrefix);
  }

  /** Applies one item, which was written or removed at {@code position}. */
  void apply(Item item, StorePosition position, Set<String> knownDomains) {
    String domain = readDomain(item.key(), knownDomains);
    if (domain == null) {
      return;
    }
    long nowNanos = loop.nowNanos();
    publish(
        item.value() == null
            ? evacuations.end(domain, position, nowNanos)
            : evacuations.begin(domain, position, nowNanos));
  }

  /** Replaces all evacuations by those among {@code items}, which the store holds at a position. */
  void applySnapshot(List<Item> items, StorePosition position, Set<String> knownDomains) {
    Map<String, StorePosition> active = new HashMap<>();
    for (Item item : items) {
      if (ownsKey(item.key()) && item.value() != null) {
        String domain = readDomain(item.key(), knownDomains);
        if (domain != null) {
          active.put(domain, new StorePosition(position.era(), item.revision()));
        }
      }
    }
    publish(evacuations.replaceAll(active, position, loop.nowNanos()));
  }

  /** Returns the failure domain that {@code key} names, or null if it cannot be one. */
  private String readDomain(String key, Set<String> knownDomains) {
    String domain = key.substring(keyPrefix.length());
    if (!Evacuations.isValidName(domain)) {
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=evacuation_unreadable key=\"{}\" reason=\"no failure domain\"",
                  key.replaceAll("\\p{Cntrl}", "?")));
      return null;
    }
    if (!knownDomains.contains(domain) && !evacuations.isEvacuated(domain)) {
      // It takes effect on targets that register there later.
      Logger.warn(
          (Object)
              LogLine.format(
                  "event=evacuation_domain_unknown domain={} known={}", domain, knownDomains));
    }
    return domain;
  }

  private void publish(List<Evacuations.Change> changes) {
    for (Evacuations.Change change : changes) {
      Logger.info(
          (Object)
              LogLine.format(
                  "event=evacuation domain={} state={} position={}",
                  change.domain(),
                  change.begun() ? "begun" : "ended",
                  change.position()));
    }
    if (!changes.isEmpty()) {
      onChange.run();
    }
  }

  /** Records that {@code transaction} is open at a target. */
  void onBegun(LocalTransaction transaction) {
    openTransactions.add(transaction);
  }

  /** Records that {@code transaction} has ended. */
  void onEnded(LocalTransaction transaction) {
    openTransactions.remove(transaction);
  }

  /**
   * Returns whether nothing may be sent to {@code target} any more, statements of open transactions
   * included.
   */
  boolean isClosedTo(TargetState target) {
    return evacuations.isOverdue(target.entry().failureDomain(), graceNanos, loop.nowNanos());
  }

  /**
   * Returns why a statement for {@code group} is refused at once, or null if it is not: no target
   * is left outside evacuated domains.
   */
  String refusalReason(GroupState group) {
    return group.isEvacuated()
        ? "all targets are in evacuated failure domains; retry in " + RETRY_MS + " ms"
        : null;
  }

  /** Counts a refused statement if the group's targets or its primary are evacuated. */
  void recordRefusal(GroupState group) {
    TargetState primary = group.primary();
    if (group.isEvacuated() || primary != null && primary.isEvacuated()) {
      metrics.recordEvacuationRefusal();
    }
  }

  /** Ends the transactions whose time is over, except those whose commits were sent. */
  void tick() {
    Map<String, Integer> endedByDomain = new HashMap<>();
    for (LocalTransaction transaction : List.copyOf(openTransactions)) {
      TargetState target = transaction.target();
      if (target != null && isClosedTo(target) && transaction.abortForEvacuation()) {
        endedByDomain.merge(target.entry().failureDomain(), 1, Integer::sum);
      }
    }
    endedByDomain.forEach(
        (domain, count) ->
            Logger.info("event=evacuation_transactions_ended domain={} count={}", domain, count));
  }
}
