package io.hickorydrift.proxy.target;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import java.util.concurrent.CompletableFuture;

/**
 * A connection to a target, which carries one exchange at a time.
 *
 * <p>Invariant: the connection is closed after an exchange without a complete answer of its own.
 * Thread safety: safe, as long as exchanges do not overlap.
 */
public interface TargetConnection {
  /**
   * Runs one exchange. The result fails with {@link TargetException} if no complete answer to this
   * exchange is received within the timeout.
   */
  CompletableFuture<TargetAnswer> exchange(TargetRequest request, long timeoutMs);

  /** Returns whether the connection is open for further exchanges. */
  boolean usable();

  /** Closes the connection; the target rolls back a transaction that is open on it. */
  void close();
}
