package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.KeyValueStore.Condition;
import io.hickorydrift.proxy.port.KeyValueStore.Put;
import io.hickorydrift.proxy.port.KeyValueStore.Status;
import io.hickorydrift.proxy.port.KeyValueStore.UpdateResult;
import io.hickorydrift.proxy.port.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tinylog.Logger;

/**
 * The lease in the store under which one instance at a time replaces the primary of a group. The
 * position of the key that is bound to it gives the fencing token.
 *
 * <p>Invariant: the listener is not told anything after {@link #release}; what the store grants
 * after that is given back. Thread safety: confined to the loop's thread.
 */
final class PromotionLease {
  private static final String KEY_PREFIX = "duty/promotion/";
  private static final long TTL_MS = 3_000;
  private static final long RENEWAL_MS = 1_000;

  /** Receives the state of the lease. */
  interface Listener {
    /** The lease is held. */
    void acquired();

    /** The lease was not acquired, or is lost. */
    void ended(String reason, boolean heldByAnother);
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String key;
  private final String holder;
  private final Listener listener;
  private long lease = KeyValueStore.NO_LEASE;
  private long fence;
  private boolean released;
  private boolean ofEarlierEra;

  PromotionLease(
      EventLoop loop, KeyValueStore store, String group, String holder, Listener listener) {
    this.loop = loop;
    this.store = store;
    key = KEY_PREFIX + group;
    this.holder = holder;
    this.listener = listener;
  }

  /** Returns the fencing token, 0 before the lease is held. */
  long fence() {
    return fence;
  }

  void acquire() {
    store.grantLease(
        TTL_MS,
        result -> {
          if (result.status() != Status.OK) {
            end("lease not granted: " + result.status(), false);
          } else if (released) {
            revoke(result.value());
          } else {
            lease = result.value();
            writeKey();
          }
        });
  }

  private void writeKey() {
    Write write =
        new Write(
            List.of(new Condition(key, KeyValueStore.ABSENT)),
            List.of(new Put(key, holder.getBytes(StandardCharsets.UTF_8), lease)),
            List.of());
    store.write(write, this::onKeyWritten);
  }

  private void onKeyWritten(UpdateResult result) {
    if (released) {
      if (ofEarlierEra && result.status() == Status.OK) {
        deleteKey(result.value());
      }
      return;
    }
    if (result.status() != Status.OK) {
      end("promotion lease not acquired: " + result.status(), result.status() == Status.CONFLICT);
      return;
    }
    fence = new StorePosition(result.era(), result.value()).fencingToken();
    loop.after(RENEWAL_MS, this::renew);
    listener.acquired();
  }

  /** Deletes a key that was written under the id of a lease of an earlier era. */
  private void deleteKey(long revision) {
    store.write(
        new Write(List.of(new Condition(key, revision)), List.of(), List.of(key)),
        result -> Logger.info("event=promotion_key_deleted status={}", result.status()));
  }

  private void renew() {
    if (released) {
      return;
    }
    store.renewLease(
        lease,
        result -> {
          if (result.status() == Status.NOT_FOUND) {
            end("lease lost", false);
          } else {
            loop.after(RENEWAL_MS, this::renew);
          }
        });
  }

  private void end(String reason, boolean heldByAnother) {
    if (!released) {
      listener.ended(reason, heldByAnother);
    }
  }

  /** Forgets the lease of an earlier era, whose id may be another's now. */
  void forget() {
    ofEarlierEra = true;
    lease = KeyValueStore.NO_LEASE;
  }

  /** Gives the lease back. */
  void release() {
    if (released) {
      return;
    }
    released = true;
    if (lease != KeyValueStore.NO_LEASE) {
      revoke(lease);
    }
  }

  private void revoke(long granted) {
    store.revokeLease(
        granted,
        result -> Logger.debug("event=promotion_lease_released status={}", result.status()));
  }
}
