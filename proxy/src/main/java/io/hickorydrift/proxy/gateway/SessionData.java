package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.position.Positions;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.core.statement.TargetCommand;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What lasts as long as a caller's session: its values, its prepared statements and the positions
 * of its own commits. Target connections are brought to it before each statement.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SessionData {
  private final Map<String, String> values = new LinkedHashMap<>();
  private final Map<String, PreparedStatement> prepared = new HashMap<>();
  private final Map<String, Position> ownCommits = new HashMap<>();

  /** Returns the data that came with a forwarded statement. */
  static SessionData of(PeerMessage.Forward forward) {
    SessionData data = new SessionData();
    data.values.putAll(forward.values());
    if (forward.shape() != null) {
      data.prepared.put(forward.statement().name(), forward.shape());
    }
    if (forward.ownCommit() != null) {
      data.ownCommits.put(forward.route().group(), forward.ownCommit());
    }
    return data;
  }

  /** Returns {@code statement} with all that its group's home needs; the link numbers it. */
  PeerMessage.Forward forwardMessage(
      Statement statement,
      long transaction,
      boolean readOnly,
      String organisation,
      Route route,
      boolean counted) {
    boolean executes = statement.kind() == StatementKind.EXECUTE;
    return new PeerMessage.Forward(
        0,
        transaction,
        readOnly,
        organisation,
        route,
        statement,
        executes ? prepared.get(statement.name()) : null,
        Map.copyOf(values),
        lastCommit(route.group()),
        counted);
  }

  Map<String, String> values() {
    return values;
  }

  Map<String, PreparedStatement> prepared() {
    return prepared;
  }

  /** Returns the position of the session's last commit in {@code group}, or null. */
  Position lastCommit(String group) {
    return ownCommits.get(group);
  }

  /** The session's commit in {@code group} was acknowledged. */
  void recordCommit(String group, Position position) {
    if (position != null) {
      ownCommits.merge(group, position, Positions::later);
    }
  }

  /** Returns whether {@code statement} writes. */
  boolean writes(Statement statement) {
    if (statement.kind() == StatementKind.EXECUTE) {
      return prepared.get(statement.name()).writes();
    }
    return statement.kind() == StatementKind.WRITE;
  }

  /** Sends what {@code statement} needs on {@code connection}, and returns its command. */
  TargetCommand prepareCommand(
      Statement statement, TargetConnection connection, Position atLeast, long deadlineNanos) {
    connection.applySessionValues(values, deadlineNanos);
    if (statement.kind() == StatementKind.EXECUTE) {
      PreparedStatement shape = prepared.get(statement.name());
      connection.prepare(shape, deadlineNanos);
      return new TargetCommand.Execute(
          statement.id(), shape.sharedName(), statement.argument(), atLeast);
    }
    return new TargetCommand.Run(statement.id(), statement.text(), atLeast);
  }
}
