package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.proxy.net.EventLoop;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The declaration in force here, and when it was last shown to be the newest.
 *
 * <p>Invariant: versions never go back. Thread safety: confined to the loop's thread.
 */
final class Declarations {
  private final EventLoop loop;
  private final long keyValidityNanos;
  private Declaration current = Declaration.NONE;
  private byte[] stored;
  private long provenNanos;
  private boolean proven;
  private boolean unreadable;

  /** Keys are good for {@code keyValidityMs} after the declaration was shown to be the newest. */
  Declarations(EventLoop loop, long keyValidityMs) {
    this.loop = loop;
    keyValidityNanos = TimeUnit.MILLISECONDS.toNanos(keyValidityMs);
    loop.clock().onLostTime(() -> proven = false);
  }

  Declaration current() {
    return current;
  }

  /** Returns the declaration in force as it stood in the store, or null. */
  byte[] storedValue() {
    return stored;
  }

  /** Takes in a version unless a newer one is in force; {@code value} is how it was stored. */
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
    stored = value;
    unreadable = false;
  }

  private void logChangedLimits(Declaration next) {
    if (current == Declaration.NONE) {
      return;
    }
    for (DeclaredOrganisation organisation : next.organisations().values()) {
      DeclaredOrganisation before = current.organisations().get(organisation.name());
      if (before != null && !before.limit().equals(organisation.limit())) {
        Logger.info(
            "event=limit_changed organisation={} rate_per_s={} burst={} rate_before_per_s={}",
            organisation.name(),
            organisation.limit().ratePerSecond(),
            organisation.limit().burst(),
            before.limit().ratePerSecond());
      }
    }
  }

  /** A version came that cannot be read; what is in force may hold withdrawn keys. */
  void markUnreadable() {
    unreadable = true;
  }

  /** The store, asked at {@code askedNanos}, had nothing newer than what is in force. */
  void confirmCurrentAt(long askedNanos) {
    if (!proven || askedNanos - provenNanos > 0) {
      proven = true;
      provenNanos = askedNanos;
    }
  }

  /** Returns whether a key that is in force here cannot have been withdrawn long ago. */
  boolean keysConfirmedCurrent() {
    return proven && !unreadable && loop.nowNanos() - provenNanos < keyValidityNanos;
  }

  /** Returns for how long keys are still good without another proof, in milliseconds. */
  long proofLeftMs() {
    return proven
        ? TimeUnit.NANOSECONDS.toMillis(provenNanos + keyValidityNanos - loop.nowNanos())
        : 0;
  }

  /** Returns the age of the last proof in milliseconds, -1 without one. */
  long proofAgeMs() {
    return proven ? TimeUnit.NANOSECONDS.toMillis(loop.nowNanos() - provenNanos) : -1;
  }
}
