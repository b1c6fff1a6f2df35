package io.hickorydrift.proxy.target;

import java.util.concurrent.CompletableFuture;

/**
 * Opens connections to targets.
 *
 * <p>Thread safety: safe.
 */
public interface TargetConnector {
  /** Opens a connection to host and port {@code address}. */
  CompletableFuture<TargetConnection> open(String address);
}
