package io.hickorydrift.proxy.port;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's key-value store. Calls do not block; each result is given once, on the loop's
 * thread.
 */
public interface KeyValueStore {
  /** Revision of a key that does not exist. */
  long ABSENT = 0;

  /** Lease of an item that is not bound to one. */
  long NO_LEASE = 0;

  /** How a call ended. */
  enum Status {
    /** Done. */
    OK,
    /** No such item or lease. */
    NOT_FOUND,
    /** A condition did not hold; nothing was done. */
    CONFLICT,
    /** The store no longer has the history asked for. */
    HISTORY_LOST,
    /** Refused; nothing was done. */
    REFUSED,
    /** No answer; it may have been done, or may still be. */
    UNKNOWN
  }

  /** An item; {@code value} is null in the event of its removal. */
  record Item(String key, byte[] value, long revision) {}

  /** Items or events, and the store's revision that they are as of. */
  record ReadResult(Status status, List<Item> items, boolean truncated, long revision) {}

  /** Result of a write or of a call on a lease: a revision or the lease's id. */
  record UpdateResult(Status status, long value) {}

  /** A write that is done if all conditions hold, wholly or not at all. */
  record Write(List<Condition> conditions, List<Put> puts, List<String> deletes) {}

  /** That {@code key} still has {@code revision}. */
  record Condition(String key, long revision) {}

  /** A new value; {@code lease} may be {@link #NO_LEASE}. */
  record Put(String key, byte[] value, long lease) {}

  /** Reads one item. */
  void get(String key, Consumer<ReadResult> onResult);

  /** Reads items of a prefix that come after the key {@code after}, which may be empty. */
  void range(String prefix, String after, Consumer<ReadResult> onResult);

  /** Waits up to {@code waitMs} for changes under {@code prefix} after a revision. */
  void watch(String prefix, long afterRevision, long waitMs, Consumer<ReadResult> onResult);

  /** Writes. */
  void write(Write write, Consumer<UpdateResult> onResult);

  /** Makes a lease. */
  void grantLease(long ttlMs, Consumer<UpdateResult> onResult);

  /** Renews a lease. */
  void renewLease(long lease, Consumer<UpdateResult> onResult);

  /** Ends a lease and removes its items. */
  void revokeLease(long lease, Consumer<UpdateResult> onResult);

  /** Gives up connections that are not in use. */
  void closeIdleConnections();
}
