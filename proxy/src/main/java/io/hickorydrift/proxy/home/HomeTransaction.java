package io.hickorydrift.proxy.home;

import io.hickorydrift.proxy.target.TargetConnection;

/**
 * A transaction that is open at this home.
 *
 * <p>Invariant: its connection serves no other requests until it ends. Thread safety: confined to
 * the home worker.
 */
final class HomeTransaction {
  final String id;
  final String organisation;
  final String target;
  final TargetConnection connection;
  final long beganNanos;
  long lastUsedNanos;
  boolean busy;

  HomeTransaction(
      String id, String organisation, String target, TargetConnection connection, long nowNanos) {
    this.id = id;
    this.organisation = organisation;
    this.target = target;
    this.connection = connection;
    beganNanos = nowNanos;
    lastUsedNanos = nowNanos;
  }
}
