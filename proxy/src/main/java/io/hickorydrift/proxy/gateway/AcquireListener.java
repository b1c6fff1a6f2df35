package io.hickorydrift.proxy.gateway;

/** Receives the result of a request for a connection. */
interface AcquireListener {
  /** Receives a connection, which has to be returned with {@link TargetPool#release}. */
  void acquired(TargetConnection connection);

  /** Reports that no connection was available in time; nothing was sent. */
  void refused(String reason);

  /** Reports that the request would wait for too long; nothing was sent. */
  default void refusedAtOnce(WaitRefusal refusal) {
    refused("the wait for a slot would be too long");
  }
}
