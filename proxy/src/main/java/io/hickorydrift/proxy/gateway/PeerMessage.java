package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.port.KeyValueStore;
import java.util.List;
import java.util.Map;

/**
 * A message between gateway instances. A link carries the requests of the side that opened it and
 * the responses to them.
 *
 * <p>Thread safety: immutable as long as the collections in it are.
 */
sealed interface PeerMessage {
  /** Version of the requests that this instance understands. */
  int PROTOCOL_VERSION = 1;

  /**
   * Requests a {@link Pong}.
   *
   * @param instance id of the sender
   * @param sequence sequence number, echoed in the pong
   * @param needsStatus whether the sender uses the status of the groups' primaries
   * @param era newest era of the store that the sender knows of
   */
  record Ping(String instance, long sequence, boolean needsStatus, long era)
      implements PeerMessage {}

  /**
   * Response to a ping. Ages are as of the time of sending, so that the receiver may count them
   * from the time at which it sent the ping.
   *
   * @param sequence sequence number of the ping
   * @param version version of the declaration in force
   * @param proofAgeMs age of the last proof that this version is the newest; -1 without one, and
   *     {@link #STARTED} while the sender has just started and waits for a confirmation itself
   * @param position newest position of the store that the sender has applied
   * @param watching whether the sender watches the store itself
   * @param groups status of each group's primary; empty if the ping did not ask for it
   * @param unreachableTargets ids of the targets that the sender cannot reach
   * @param protocolVersion version of the requests that the sender understands; 0 if it is of a
   *     version that does not say so. A request of a later version must not be sent to it, since it
   *     would close the link
   */
  record Pong(
      long sequence,
      long version,
      long proofAgeMs,
      StorePosition position,
      boolean watching,
      List<PrimaryStatus> groups,
      List<String> unreachableTargets,
      int protocolVersion)
      implements PeerMessage {
    /** In place of the age of a proof: the sender has no knowledge from before its start. */
    static final long STARTED = -2;

    /** Creates the pong of an instance that does not say which requests it understands. */
    Pong(
        long sequence,
        long version,
        long proofAgeMs,
        StorePosition position,
        boolean watching,
        List<PrimaryStatus> groups,
        List<String> unreachableTargets) {
      this(sequence, version, proofAgeMs, position, watching, groups, unreachableTargets, 0);
    }
  }

  /**
   * Status of a group's primary as observed by one instance.
   *
   * @param group the group
   * @param position newest position observed at the primary, or null
   * @param ageMs age of that position
   * @param primary id of the primary in the view of the instance, or empty
   * @param unreachableMs time for which the primary has been unreachable; 0 if it is reachable
   */
  record PrimaryStatus(
      String group, Position position, long ageMs, String primary, long unreachableMs) {}

  /**
   * Requests tokens of an organisation's rate limit.
   *
   * @param urgentTokens how many of the tokens are for urgent operations
   */
  record TokenRequest(GrantRequest request, double urgentTokens) implements PeerMessage {}

  /** Response to a {@link TokenRequest}. */
  record TokenResponse(GrantAnswer answer) implements PeerMessage {}

  /**
   * The transaction that a forwarded statement belongs to.
   *
   * @param number number of the caller's transaction, 0 outside one; unique on the link
   * @param begun whether the home has answered an earlier statement of it; a home that does not
   *     have the transaction must not begin it then. Senders of earlier versions do not say so
   */
  record TransactionRef(long number, boolean begun) {
    /** No transaction. */
    static final TransactionRef NONE = new TransactionRef(0, false);
  }

  /**
   * Forwards a caller's statement to the home of its group, with the session state that the home
   * needs. Never carries the caller's key.
   *
   * @param correlation echoed in the result
   * @param transaction the caller's transaction
   * @param readOnly whether the transaction is read-only
   * @param organisation organisation that the statement runs for
   * @param route route in force, without its database
   * @param statement the statement
   * @param preparedStatement the prepared statement that it executes, or null
   * @param values values that the session has set
   * @param lastCommit position of the session's last commit, or null
   * @param counted whether the sender has counted the operation against the rate limit
   * @param ageMs time since the sender received the statement
   * @param allowed regions that may run the statement
   */
  record Forward(
      long correlation,
      TransactionRef transaction,
      boolean readOnly,
      String organisation,
      Route route,
      Statement statement,
      PreparedStatement preparedStatement,
      Map<String, String> values,
      Position lastCommit,
      boolean counted,
      long ageMs,
      AllowedRegions allowed)
      implements PeerMessage {}

  /** The result of a forwarded statement. */
  record Result(long correlation, StatementOutcome outcome) implements PeerMessage {}

  /**
   * Cancels a forwarded statement whose caller is gone, unless it was sent to a target. Its result
   * is sent in any case.
   */
  record Cancel(long correlation) implements PeerMessage {
    /** Protocol version from which on instances understand this message. */
    static final int SINCE_VERSION = 1;
  }

  /** Ends a caller's transaction; if it is still open, it is rolled back. */
  record EndTransaction(long transaction) implements PeerMessage {}

  /** Requests the declaration in force; {@code version} is the one that the sender has. */
  record DeclarationRequest(long version) implements PeerMessage {}

  /** The declaration in force, as it is stored. */
  record DeclarationResponse(byte[] value) implements PeerMessage {}

  /** The declaration in force, as the difference to the version that the receiver has. */
  record DeclarationChange(long baseVersion, byte[] delta) implements PeerMessage {}

  /**
   * Asks a relay for all changes in the store from now on.
   *
   * @param position position of the store that the sender has applied
   * @param version version of the declaration that the sender has
   */
  record Subscribe(StorePosition position, long version) implements PeerMessage {}

  /**
   * Changes in the store, sent to a subscriber. The declaration is sent on its own, before them.
   *
   * @param snapshot whether {@code items} are all items, rather than the changes since {@code from}
   * @param from position that the receiver must have applied
   * @param position position of the store with these changes
   * @param failureAgeMs time since the store was last unreachable for the sender
   * @param items the items
   */
  record StoreChanges(
      boolean snapshot,
      StorePosition from,
      StorePosition position,
      long failureAgeMs,
      List<KeyValueStore.Item> items)
      implements PeerMessage {}
}
