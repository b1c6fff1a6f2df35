package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.declaration.StartConfirmation;
import io.hickorydrift.core.declaration.UrgentGroups;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Holds the declaration in force on this instance and the time at which the store or a peer last
 * confirmed that it is current. Such a confirmation is called a proof in metrics and logs.
 *
 * <p>Invariant: the version never decreases. Thread safety: confined to the loop's thread.
 */
final class Declarations {
  // A peer that misses more versions than this is sent the whole declaration.
  private static final int KEPT_VERSIONS = 4;
  private static final long UNKNOWN_VERSION = Declaration.NONE.version() - 1;
  // Twice the longest validity of a proof: by then, peers that were cut off have been heard.
  private static final long RESTORE_NANOS = 10_000_000_000L;

  private final EventLoop loop;
  private long keyValidityNanos;
  private Consumer<Declaration> onAccepted = accepted -> {};
  private Declaration current = Declaration.NONE;
  private Set<String> urgentGroups = Set.of();
  private final Map<Long, byte[]> storedByVersion = new LinkedHashMap<>();
  private long confirmedNanos;
  private boolean confirmed;
  private boolean unreadable;
  private boolean restored;
  private long restoredNanos;
  private boolean olderShownLogged;
  private long shownVersion;
  private long newestKnownVersion;
  private StartConfirmation startConfirmation;
  private boolean startOnly;
  // Proof by the store that counts once the start is confirmed.
  private boolean heldProof;
  private long heldProofNanos;

  /**
   * Creates an instance without a declaration.
   *
   * @param keyValidityMs time for which keys stay valid after a proof that the declaration is
   *     current
   */
  Declarations(EventLoop loop, long keyValidityMs) {
    this.loop = loop;
    setKeyValidityMs(keyValidityMs);
    loop.clock().onClockPause(this::forgetProofs);
  }

  private void forgetProofs() {
    confirmed = false;
    heldProof = false;
  }

  /**
   * Handles the start of the instance. Until the start is confirmed, answers of the store prove
   * nothing; after that, the store may still be one that was restored shortly before.
   */
  void onStart() {
    startConfirmation = new StartConfirmation(loop.nowNanos());
    onNewEra();
    startOnly = true;
  }

  /** Returns the decision since when the store is relied on; null before the start. */
  StartConfirmation startConfirmation() {
    return startConfirmation;
  }

  /** Returns whether this instance waits for a confirmation of what the store shows. */
  boolean isStartAwaited() {
    return startConfirmation != null && startConfirmation.isAwaited();
  }

  /** Lets the last answer of the store count if the start was confirmed in another way. */
  void onStartConfirmed() {
    if (heldProof) {
      heldProof = false;
      confirmByStoreAt(heldProofNanos);
    }
  }

  /** Sets the time for which keys stay valid after a proof that the declaration is current. */
  void setKeyValidityMs(long keyValidityMs) {
    keyValidityNanos = TimeUnit.MILLISECONDS.toNanos(keyValidityMs);
  }

  /** Sets the receiver of each declaration that comes into force. */
  void setAcceptedListener(Consumer<Declaration> listener) {
    onAccepted = listener;
  }

  Declaration current() {
    return current;
  }

  /** Returns a declared organisation, for an exchange that is the same for each; "-" if none. */
  String anyOrganisation() {
    return current.organisations().keySet().stream().findFirst().orElse("-");
  }

  /** Returns whether {@code group} has urgent work. */
  boolean isUrgent(String group) {
    return urgentGroups.contains(group);
  }

  /** Returns the stored bytes of the declaration in force, or null if there is none. */
  byte[] storedValue() {
    return storedByVersion.get(current.version());
  }

  /** Returns the stored bytes of one of the last versions, or null if it is not kept. */
  byte[] storedValue(long version) {
    return storedByVersion.get(version);
  }

  /** Applies a declaration newer than the one in force; {@code value} holds its stored bytes. */
  void accept(Declaration declaration, byte[] value) {
    if (declaration.version() <= current.version()) {
      return;
    }
    Logger.info(
        "event=declaration_in_force version={} before={} routes={} organisations={}",
        declaration.version(),
        current.version(),
        declaration.routes().size(),
        declaration.organisations().size());
    logChangedLimits(declaration);
    current = declaration;
    urgentGroups = UrgentGroups.of(declaration);
    onKnownVersion(declaration.version());
    storedByVersion.put(declaration.version(), value);
    if (storedByVersion.size() > KEPT_VERSIONS) {
      storedByVersion.remove(storedByVersion.keySet().iterator().next());
    }
    unreadable = false;
    onAccepted.accept(declaration);
  }

  private void logChangedLimits(Declaration newer) {
    if (current == Declaration.NONE) {
      return;
    }
    for (DeclaredOrganisation organisation : newer.organisations().values()) {
      DeclaredOrganisation before = current.organisations().get(organisation.name());
      if (before != null && !before.limit().equals(organisation.limit())) {
        Logger.info(
            (Object)
                LogLine.format(
                    "event=limit_changed organisation={} rate_per_s={} burst={}"
                        + " rate_before_per_s={}",
                    organisation.name(),
                    organisation.limit().ratePerSecond(),
                    organisation.limit().burst(),
                    before.limit().ratePerSecond()));
      }
    }
  }

  /** Records that a version could not be read; the declaration in force may hold withdrawn keys. */
  void markUnreadable() {
    unreadable = true;
  }

  /** Returns whether the store holds a later version that could not be read. */
  boolean isUnreadable() {
    return unreadable;
  }

  /** Records that a peer or the store holds a declaration of {@code version}. */
  void onKnownVersion(long version) {
    newestKnownVersion = Math.max(newestKnownVersion, version);
  }

  /** Records the version that the store holds. */
  void onStoreVersion(long version) {
    shownVersion = version;
    onKnownVersion(version);
    if (restored && shownVersion >= newestKnownVersion) {
      unreadable = false;
    }
  }

  /** Handles that the store was restored from an older copy. */
  void onNewEra() {
    restored = true;
    startOnly = false;
    restoredNanos = loop.nowNanos();
    olderShownLogged = false;
    shownVersion = UNKNOWN_VERSION;
  }

  /** Records that this instance no longer sees itself what the store holds. */
  void onStoreUnwatched() {
    shownVersion = UNKNOWN_VERSION;
  }

  /** Returns whether the version that the store holds since its last restore is not known yet. */
  boolean needsStoreVersion() {
    return restored && shownVersion == UNKNOWN_VERSION;
  }

  /**
   * Records that the store, queried at {@code requestNanos}, had no newer declaration than the one
   * in force. Since a restore, that proves nothing as long as the store holds an older one than the
   * newest known: what the operator wrote since the copy is still missing there.
   */
  void confirmByStoreAt(long requestNanos) {
    if (!restored || shownVersion >= newestKnownVersion) {
      if (isStartAwaited()) {
        heldProof = true;
        heldProofNanos = requestNanos;
        return;
      }
      confirmCurrentAt(requestNanos);
      restored &= loop.nowNanos() - restoredNanos < RESTORE_NANOS;
    } else if (!olderShownLogged) {
      olderShownLogged = true;
      Logger.warn(
          "event=declaration_older_in_store version={} known={}", shownVersion, newestKnownVersion);
    }
  }

  /**
   * Records that a peer which has the declaration in force too has a proof that dates from {@code
   * proofNanos}.
   */
  void confirmByPeerAt(long proofNanos) {
    confirmCurrentAt(proofNanos);
    if (startConfirmation != null && keysConfirmedCurrent()) {
      startConfirmation.onPeerProof();
    }
    if (startOnly && proofNanos - restoredNanos >= RESTORE_NANOS) {
      restored = false;
      startOnly = false;
    }
  }

  private void confirmCurrentAt(long requestNanos) {
    if (!confirmed || requestNanos - confirmedNanos > 0) {
      confirmed = true;
      confirmedNanos = requestNanos;
    }
  }

  /**
   * Returns whether the keys in force may be accepted: a key that has been withdrawn since the last
   * proof was withdrawn less than {@code keyValidityMs} ago.
   */
  boolean keysConfirmedCurrent() {
    return confirmed && !unreadable && loop.nowNanos() - confirmedNanos < keyValidityNanos;
  }

  /** Returns the age of the last proof in milliseconds, or -1 if there is none. */
  long proofAgeMs() {
    return confirmed ? TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - confirmedNanos) : -1;
  }
}
