package io.hickorydrift.proxy.gateway;

/** Is told how long statements waited for a place and a connection. */
interface WaitObserver {
  /** Records a statement of {@code priority} that was served after a wait. */
  void served(int priority, long waitedNanos, long predictedNanos);
}
