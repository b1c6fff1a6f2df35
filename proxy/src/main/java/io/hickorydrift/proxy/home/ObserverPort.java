package io.hickorydrift.proxy.home;

import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.message.Suspicion;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * An observer's access to the other observers and to the store. Called from the home worker; never
 * blocks.
 */
public interface ObserverPort {
  /** Sends a suspicion to the other observers. */
  void sendSuspicion(List<String> observers, Suspicion suspicion);

  /** Publishes a promotion to the other observers and to the store. */
  void publishPrimary(List<String> observers, PrimaryNotice notice);

  /**
   * Reserves a term above {@code aboveTerm} in the store.
   *
   * @param reserved receives the term, or 0 if the attempt failed; called on any thread
   */
  void reserveTerm(String group, long aboveTerm, LongConsumer reserved);
}
