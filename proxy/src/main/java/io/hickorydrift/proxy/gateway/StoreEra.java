package io.hickorydrift.proxy.gateway;

import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * The newest era of the store that this instance knows of, from the store itself or from a peer.
 * The first one that is observed is not a change.
 *
 * <p>Invariant: the era never decreases. Thread safety: confined to the loop's thread.
 */
final class StoreEra {
  /** What an era was learned from. */
  enum Source {
    STORE,
    PEER
  }

  /** Receives each new era. */
  interface Listener {
    /** Handles that the store has been restored from an older copy. */
    void onNewEra(Source source);
  }

  private static final long NONE = 0;

  private final List<Listener> listeners = new ArrayList<>();
  private long current = NONE;
  private boolean known;
  private boolean outdatedLogged;

  /** Adds a listener; they run in the order in which they were added. */
  void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Returns the newest era known, 0 if there is none. */
  long current() {
    return current;
  }

  /**
   * Records an era that the store or a peer named; older ones are ignored. A peer that has had no
   * answer of the store yet names {@link #NONE}, which says nothing.
   */
  void observe(long era, Source source) {
    if (source == Source.PEER && era == NONE) {
      return;
    }
    if (known && era <= current) {
      reportOutdated(era, source);
      return;
    }
    outdatedLogged = false;
    final boolean restored = known;
    Logger.info("event=store_era era={} before={} source={}", era, known ? current : "", source);
    known = true;
    current = Math.max(current, era);
    if (restored) {
      List.copyOf(listeners).forEach(listener -> listener.onNewEra(source));
    }
  }

  /** Logs the first of a series of outdated answers of the store. */
  private void reportOutdated(long era, Source source) {
    if (source == Source.STORE) {
      boolean outdated = era < current;
      if (outdated && !outdatedLogged) {
        Logger.warn("event=store_answer_outdated era={} known={}", era, current);
      }
      outdatedLogged = outdated;
    }
  }
}
