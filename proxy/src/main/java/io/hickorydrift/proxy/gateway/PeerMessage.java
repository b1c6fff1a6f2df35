package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.Prepared;
import io.hickorydrift.core.statement.Statement;
import java.util.List;
import java.util.Map;

/**
 * What gateway instances say to each other. A link carries questions of the side that opened it and
 * the answers to them.
 *
 * <p>Thread safety: immutable as long as their collections are.
 */
sealed interface PeerMessage {
  /** Asks for a {@link Pong}. */
  record Ping(String instance, long sequence) implements PeerMessage {}

  /**
   * Answers a ping. Ages count back from the moment of sending, so that the asker may count them
   * from when it sent the ping.
   *
   * @param sequence of the ping
   * @param version version of the declaration in force
   * @param proofAgeMs age of the proof that it is the newest; -1 without one
   * @param revision newest revision of the store that it has taken in
   * @param groups what is known of each group's primary
   */
  record Pong(
      long sequence, long version, long proofAgeMs, long revision, List<PrimaryStatus> groups)
      implements PeerMessage {}

  /**
   * What an instance knows of a group's primary.
   *
   * @param group the group
   * @param position newest position seen at its primary, or null
   * @param ageMs age of that sighting
   * @param primary id of the primary that it believes in, or empty
   * @param unreachableMs how long it has not been able to reach it; 0 if it can
   */
  record PrimaryStatus(
      String group, Position position, long ageMs, String primary, long unreachableMs) {}

  /** Asks for tokens of an organisation's rate. */
  record TokenRequest(GrantRequest request) implements PeerMessage {}

  /** Answers {@link TokenRequest}. */
  record TokenResponse(GrantAnswer answer) implements PeerMessage {}

  /**
   * A caller's statement on its way to the home of its group. Carries all that the home needs of
   * the session; never the caller's key.
   *
   * @param correlation echoed in the result
   * @param transaction the caller's transaction, 0 outside one; unique on the link
   * @param readOnly whether the transaction only reads
   * @param organisation organisation that it runs for
   * @param route how it is served; its database is not carried
   * @param statement the statement
   * @param shape the prepared statement that it executes, or null
   * @param values the session's values
   * @param ownCommit position of the session's last commit, or null
   * @param counted whether the sender has counted the operation against its rate
   */
  record Forward(
      long correlation,
      long transaction,
      boolean readOnly,
      String organisation,
      Route route,
      Statement statement,
      Prepared shape,
      Map<String, String> values,
      Position ownCommit,
      boolean counted)
      implements PeerMessage {}

  /** The result of a forwarded statement. */
  record Result(long correlation, StatementOutcome outcome) implements PeerMessage {}

  /** The caller's transaction is over; what is open of it is rolled back. */
  record EndTransaction(long transaction) implements PeerMessage {}

  /** Asks for the declaration in force. */
  record DeclarationRequest() implements PeerMessage {}

  /** Answers {@link DeclarationRequest} with the declaration as it stood in the store. */
  record DeclarationResponse(byte[] value) implements PeerMessage {}
}
