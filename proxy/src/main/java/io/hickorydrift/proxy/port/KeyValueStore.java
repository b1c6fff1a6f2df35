package io.hickorydrift.proxy.port;

import io.hickorydrift.core.store.StorePosition;
import java.util.List;
import java.util.function.Consumer;

/**
 * Client of the platform's key-value store. Calls do not block; each callback runs exactly once, on
 * the event loop's thread.
 */
public interface KeyValueStore {
  /** Revision of a key that does not exist. */
  long ABSENT = 0;

  /** Era of an answer that does not name one, or of a call without an answer. */
  long NO_ERA = -1;

  /** Lease id of an item that is not bound to a lease. */
  long NO_LEASE = 0;

  /** Outcome of a call. */
  enum Status {
    /** The call succeeded. */
    OK,
    /** The item or lease does not exist. */
    NOT_FOUND,
    /** A condition did not hold; nothing was changed. */
    CONFLICT,
    /** The store has discarded the requested revisions. */
    HISTORY_LOST,
    /** The store rejected the call; nothing was changed. */
    REFUSED,
    /** The caller may not make this call; nothing was changed. */
    FORBIDDEN,
    /** No response; the call may have taken effect or may still do so. */
    UNKNOWN
  }

  /** An item; {@code value} is null in a removal event. */
  record Item(String key, byte[] value, long revision) {}

  /** Items or events, and the position of the store at which they were read. */
  record ReadResult(Status status, List<Item> items, boolean truncated, StorePosition position) {
    /** Returns a result without items. */
    public static ReadResult empty(Status status, long era) {
      return new ReadResult(status, List.of(), false, new StorePosition(era, 0));
    }
  }

  /**
   * Result of a write or a lease call; {@code value} is a revision or the lease's id, in {@code
   * era}.
   */
  record UpdateResult(Status status, long value, long era) {}

  /** An atomic write that is applied only if all conditions hold. */
  record Write(List<Condition> conditions, List<Put> puts, List<String> deletes) {}

  /** Requires that {@code key} still has {@code revision}. */
  record Condition(String key, long revision) {}

  /** A new value for {@code key}; {@code lease} may be {@link #NO_LEASE}. */
  record Put(String key, byte[] value, long lease) {}

  /** Reads one item. */
  void get(String key, Consumer<ReadResult> onResult);

  /** Reads the items under {@code prefix} whose keys follow {@code after}, which may be empty. */
  void range(String prefix, String after, Consumer<ReadResult> onResult);

  /**
   * Reads the items under {@code prefix} as {@link #range} does, at a fraction of its cost; the
   * result may be seconds old.
   */
  void staleRange(String prefix, String after, Consumer<ReadResult> onResult);

  /** Waits up to {@code waitMs} for changes under {@code prefix} after {@code afterRevision}. */
  void watch(String prefix, long afterRevision, long waitMs, Consumer<ReadResult> onResult);

  /** Applies {@code write} if its conditions hold. */
  void write(Write write, Consumer<UpdateResult> onResult);

  /** Creates a lease that expires after {@code ttlMs} unless it is renewed. */
  void grantLease(long ttlMs, Consumer<UpdateResult> onResult);

  /** Renews a lease. */
  void renewLease(long lease, Consumer<UpdateResult> onResult);

  /** Revokes a lease and removes its items. */
  void revokeLease(long lease, Consumer<UpdateResult> onResult);

  /** Sends further calls to {@code address}. Calls in progress at another one get no response. */
  void setAddress(String address);

  /** Closes the connections that are not in use. */
  void closeIdleConnections();
}
