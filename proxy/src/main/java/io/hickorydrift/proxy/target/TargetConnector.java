package io.hickorydrift.proxy.target;

import java.util.concurrent.CompletableFuture;

/** Opens connections to targets. Safe for use by many threads. */
public interface TargetConnector {
  /** Opens a connection to host and port {@code address}. */
  CompletableFuture<TargetConnection> open(String address);
}
