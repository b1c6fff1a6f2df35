package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.statement.ExpectedAnswer;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.SessionSettings;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.core.statement.TargetCommand;
import java.util.HashMap;
import java.util.Map;

/**
 * State of a caller's session: its values, its prepared statements and the positions of its own
 * commits. The values and the prepared statements are applied to a target connection before each
 * statement, commits included.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SessionData {
  private final SessionSettings settings;
  private final Map<String, Position> lastCommits = new HashMap<>();

  SessionData(SessionSettings settings) {
    this.settings = settings;
  }

  /** Returns the session state carried by a forwarded statement. */
  static SessionData of(PeerMessage.Forward forward) {
    Map<String, PreparedStatement> prepared =
        forward.preparedStatement() == null
            ? Map.of()
            : Map.of(forward.statement().name(), forward.preparedStatement());
    SessionData data = new SessionData(SessionSettings.accepted(forward.values(), prepared));
    if (forward.lastCommit() != null) {
      data.lastCommits.put(forward.route().group(), forward.lastCommit());
    }
    return data;
  }

  /**
   * Returns a message that forwards {@code statement} with the session state that its group's home
   * needs. The peer link assigns the correlation number.
   */
  PeerMessage.Forward forwardMessage(
      Statement statement,
      PeerMessage.TransactionRef transaction,
      boolean readOnly,
      String organisation,
      Route route,
      boolean counted,
      long ageMs,
      AllowedRegions allowed) {
    boolean isExecute = statement.kind() == StatementKind.EXECUTE;
    return new PeerMessage.Forward(
        0,
        transaction,
        readOnly,
        organisation,
        route,
        statement,
        isExecute ? prepared().get(statement.name()) : null,
        Map.copyOf(values()),
        lastCommit(route.group()),
        counted,
        ageMs,
        allowed);
  }

  SessionSettings settings() {
    return settings;
  }

  Map<String, String> values() {
    return settings.values();
  }

  Map<String, PreparedStatement> prepared() {
    return settings.prepared();
  }

  /** Returns the position of the session's last commit in {@code group}, or null. */
  Position lastCommit(String group) {
    return lastCommits.get(group);
  }

  /** Records the position of a commit of this session in {@code group}; null is ignored. */
  void recordCommit(String group, Position position) {
    if (position != null) {
      lastCommits.merge(group, position, Positions::later);
    }
  }

  /** Returns whether {@code statement} writes, looking up prepared statements. */
  boolean writes(Statement statement) {
    if (statement.kind() == StatementKind.EXECUTE) {
      return prepared().get(statement.name()).writes();
    }
    return statement.kind() == StatementKind.WRITE;
  }

  /**
   * Sends the session values and the prepared statement that {@code statement} needs on {@code
   * connection}. Returns the command that runs the statement.
   *
   * @param expected what its success looks like
   */
  TargetCommand prepareCommand(
      Statement statement,
      ExpectedAnswer expected,
      TargetConnection connection,
      Position atLeast,
      long deadlineNanos) {
    connection.applySessionValues(values(), deadlineNanos);
    if (statement.kind() == StatementKind.EXECUTE) {
      PreparedStatement preparedStatement = prepared().get(statement.name());
      connection.prepare(preparedStatement, deadlineNanos);
      return new TargetCommand.Execute(
          statement.id(), preparedStatement.sharedName(), statement.argument(), atLeast, expected);
    }
    return new TargetCommand.Run(statement.id(), statement.text(), atLeast, expected);
  }
}
