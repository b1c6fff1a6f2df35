package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes forwarded statements and their results as MessagePack fields.
 *
 * <p>Thread safety: stateless.
 */
final class ForwardCodec {
  private static final int NO_FAILURE = -1;

  private ForwardCodec() {}

  static void packForward(MessagePacker packer, PeerMessage.Forward forward) throws IOException {
    packer.packLong(forward.correlation()).packLong(forward.transaction().number());
    packer.packBoolean(forward.readOnly()).packString(forward.organisation());
    Route route = forward.route();
    packer.packString(route.group()).packInt(route.consistency().ordinal());
    packer.packLong(route.statementTimeoutMs()).packLong(route.objectiveMs());
    packer.packInt(route.priority()).packLong(route.stalenessBoundMs());
    Statement statement = forward.statement();
    packer.packString(statement.id()).packInt(statement.kind().ordinal());
    // An execution is sent to targets by its argument.
    packer.packString(statement.kind() == StatementKind.EXECUTE ? "" : statement.text());
    packer.packString(statement.name());
    packer.packString(statement.argument());
    packer.packBoolean(forward.preparedStatement() != null);
    if (forward.preparedStatement() != null) {
      packer
          .packBoolean(forward.preparedStatement().writes())
          .packString(forward.preparedStatement().shape());
    }
    packer.packMapHeader(forward.values().size());
    for (Map.Entry<String, String> value : forward.values().entrySet()) {
      packer.packString(value.getKey()).packString(value.getValue());
    }
    packPosition(packer, forward.lastCommit());
    packer.packBoolean(forward.counted()).packLong(forward.ageMs());
    packAllowed(packer, forward.allowed());
    // Instances of earlier versions ignore further fields.
    packer.packBoolean(forward.transaction().begun());
    if (forward.preparedStatement() != null) {
      packer.packString(forward.preparedStatement().sharedName());
    }
  }

  /** Returns the length of the texts that make a forwarded statement long. */
  static long textLength(PeerMessage.Forward forward) {
    Statement statement = forward.statement();
    long length =
        (long) statement.id().length()
            + statement.text().length()
            + statement.name().length()
            + statement.argument().length();
    if (forward.preparedStatement() != null) {
      length += forward.preparedStatement().shape().length();
    }
    for (Map.Entry<String, String> value : forward.values().entrySet()) {
      length += value.getKey().length() + value.getValue().length();
    }
    return length;
  }

  /** Returns the length of the texts that make a result long. */
  static long textLength(StatementOutcome outcome) {
    long length = outcome.reason().length();
    for (String row : outcome.rows()) {
      length += row.length();
    }
    return length;
  }

  static PeerMessage.Forward unpackForward(MessageUnpacker unpacker) throws IOException {
    final long correlation = unpacker.unpackLong();
    final long transaction = unpacker.unpackLong();
    final boolean readOnly = unpacker.unpackBoolean();
    final String organisation = unpacker.unpackString();
    Route route =
        new Route(
            "",
            unpacker.unpackString(),
            constantOf(Consistency.values(), unpacker.unpackInt()),
            unpacker.unpackLong(),
            unpacker.unpackLong(),
            unpacker.unpackInt(),
            unpacker.unpackLong(),
            true,
            Set.of());
    Statement statement =
        new Statement(
            unpacker.unpackString(),
            constantOf(StatementKind.values(), unpacker.unpackInt()),
            unpacker.unpackString(),
            unpacker.unpackString(),
            unpacker.unpackString(),
            false);
    final boolean execution = unpacker.unpackBoolean();
    final boolean writes = execution && unpacker.unpackBoolean();
    final String shape = execution ? unpacker.unpackString() : null;
    int count = PeerMessageCodec.checkCount(unpacker.unpackMapHeader(), PeerMessageCodec.MAX_ITEMS);
    Map<String, String> values = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      values.put(unpacker.unpackString(), unpacker.unpackString());
    }
    final Position lastCommit = unpackPosition(unpacker);
    final boolean counted = unpacker.unpackBoolean();
    final long ageMs = unpacker.unpackLong();
    // Instances of earlier versions omit the fields from here on.
    final AllowedRegions allowed =
        unpacker.hasNext() ? unpackAllowed(unpacker) : AllowedRegions.ALL;
    final boolean begun = unpacker.hasNext() && unpacker.unpackBoolean();
    final PreparedStatement preparedStatement =
        execution ? unpackPreparedStatement(unpacker, writes, shape) : null;
    return new PeerMessage.Forward(
        correlation,
        new PeerMessage.TransactionRef(transaction, begun),
        readOnly,
        organisation,
        route,
        statement,
        preparedStatement,
        values,
        lastCommit,
        counted,
        ageMs,
        allowed);
  }

  private static PreparedStatement unpackPreparedStatement(
      MessageUnpacker unpacker, boolean writes, String shape) throws IOException {
    return unpacker.hasNext()
        ? PreparedStatement.named(writes, shape, unpacker.unpackString())
        : new PreparedStatement(writes, shape);
  }

  private static void packAllowed(MessagePacker packer, AllowedRegions allowed) throws IOException {
    packer.packBoolean(allowed.restricted()).packArrayHeader(allowed.regions().size());
    for (String region : allowed.regions()) {
      packer.packString(region);
    }
  }

  private static AllowedRegions unpackAllowed(MessageUnpacker unpacker) throws IOException {
    final boolean restricted = unpacker.unpackBoolean();
    int count =
        PeerMessageCodec.checkCount(unpacker.unpackArrayHeader(), PeerMessageCodec.MAX_ITEMS);
    Set<String> regions = new HashSet<>();
    for (int i = 0; i < count; i++) {
      regions.add(unpacker.unpackString());
    }
    return new AllowedRegions(restricted, regions);
  }

  static void packResult(MessagePacker packer, PeerMessage.Result result) throws IOException {
    StatementOutcome outcome = result.outcome();
    packer.packLong(result.correlation()).packArrayHeader(outcome.rows().size());
    for (String row : outcome.rows()) {
      packer.packString(row);
    }
    packer.packBoolean(outcome.signature() != null);
    if (outcome.signature() != null) {
      packer.packString(outcome.signature());
    }
    packer.packInt(outcome.failure() == null ? NO_FAILURE : outcome.failure().ordinal());
    packer.packString(outcome.reason()).packInt(outcome.state().ordinal());
    packPosition(packer, outcome.position());
  }

  static PeerMessage.Result unpackResult(MessageUnpacker unpacker) throws IOException {
    final long correlation = unpacker.unpackLong();
    int count =
        PeerMessageCodec.checkCount(unpacker.unpackArrayHeader(), PeerMessageCodec.MAX_ITEMS);
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rows.add(unpacker.unpackString());
    }
    String signature = unpacker.unpackBoolean() ? unpacker.unpackString() : null;
    int failure = unpacker.unpackInt();
    return new PeerMessage.Result(
        correlation,
        new StatementOutcome(
            rows,
            signature,
            failure == NO_FAILURE ? null : constantOf(FailureCode.values(), failure),
            unpacker.unpackString(),
            constantOf(SessionState.values(), unpacker.unpackInt()),
            unpackPosition(unpacker)));
  }

  private static void packPosition(MessagePacker packer, Position position) throws IOException {
    packer.packBoolean(position != null);
    if (position != null) {
      packer.packLong(position.term()).packLong(position.index());
    }
  }

  private static Position unpackPosition(MessageUnpacker unpacker) throws IOException {
    return unpacker.unpackBoolean()
        ? new Position(unpacker.unpackLong(), unpacker.unpackLong())
        : null;
  }

  private static <T> T constantOf(T[] constants, int ordinal) {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new IllegalArgumentException("enum ordinal out of range: " + ordinal);
    }
    return constants[ordinal];
  }
}
