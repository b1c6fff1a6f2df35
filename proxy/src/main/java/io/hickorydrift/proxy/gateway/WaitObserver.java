package io.hickorydrift.proxy.gateway;

/** Is told how long statements waited for a place and a connection, and that targets ran them. */
interface WaitObserver {
  /** Records a statement of {@code priority} that was served after a wait. */
  void served(int priority, long waitedNanos, long predictedNanos);

  /** Records that a target has run a statement. */
  default void answered() {}
}
