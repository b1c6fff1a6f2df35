package io.hickorydrift.proxy.home;

import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.proxy.runtime.Worker;
import io.hickorydrift.proxy.target.TargetConnection;
import io.hickorydrift.proxy.target.TargetConnector;

/**
 * The one connection to a target over which a home probes, awaits positions, fences and promotes.
 *
 * <p>Invariants: at most one connection is open and at most one exchange is under way; a request
 * for a fresh connection drops what was under way.
 *
 * <p>Thread safety: confined to the home duty.
 */
final class ControlChannel {
  /** Takes the answer, null if there was none, and when the request was sent. */
  interface Listener {
    /** The exchange is over. */
    void onCompleted(TargetAnswer answer, long sentNanos);
  }

  private final String address;
  private final TargetConnector connector;
  private final Worker duty;
  private TargetConnection connection;
  private boolean busy;
  private long generation;

  ControlChannel(String address, TargetConnector connector, Worker duty) {
    this.address = address;
    this.connector = connector;
    this.duty = duty;
  }

  boolean busy() {
    return busy;
  }

  /** Runs an exchange; returns false if one is under way and no fresh connection is asked for. */
  boolean exchange(TargetRequest request, boolean fresh, long timeoutMs, Listener listener) {
    if (busy && !fresh) {
      return false;
    }
    if (fresh) {
      close();
    }
    busy = true;
    long mine = ++generation;
    if (connection != null && connection.usable()) {
      send(request, timeoutMs, mine, listener);
      return true;
    }
    connection = null;
    connector
        .open(address)
        .whenComplete(
            (opened, failure) ->
                duty.submit(() -> onConnectionOpened(opened, request, timeoutMs, mine, listener)));
    return true;
  }

  /** Closes the connection; what is under way ends without an answer. */
  void close() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
    busy = false;
    generation++;
  }

  private void onConnectionOpened(
      TargetConnection opened,
      TargetRequest request,
      long timeoutMs,
      long mine,
      Listener listener) {
    if (mine != generation) {
      if (opened != null) {
        opened.close();
      }
      listener.onCompleted(null, System.nanoTime());
      return;
    }
    if (opened == null) {
      busy = false;
      listener.onCompleted(null, System.nanoTime());
      return;
    }
    connection = opened;
    send(request, timeoutMs, mine, listener);
  }

  private void send(TargetRequest request, long timeoutMs, long mine, Listener listener) {
    long sentNanos = System.nanoTime();
    connection
        .exchange(request, timeoutMs)
        .whenComplete(
            (answer, failure) ->
                duty.submit(
                    () -> {
                      if (mine == generation) {
                        busy = false;
                      }
                      listener.onCompleted(answer, sentNanos);
                    }));
  }
}
