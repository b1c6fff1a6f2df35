package io.hickorydrift.proxy.target;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import java.util.concurrent.CompletableFuture;

/**
 * One connection to a target, which carries one exchange at a time.
 *
 * <p>Invariant: after an exchange that brought no whole answer of its own the connection is closed.
 * Thread safety: safe, as long as exchanges do not overlap.
 */
public interface TargetConnection {
  /**
   * Runs one exchange. The result fails with {@link TargetException} if no whole answer to this
   * very exchange comes in time.
   */
  CompletableFuture<TargetAnswer> exchange(TargetRequest request, long timeoutMs);

  /** Returns whether further exchanges may be tried. */
  boolean usable();

  /** Closes it; the target rolls back a transaction left open on it. */
  void close();
}
