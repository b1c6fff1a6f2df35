package io.hickorydrift.proxy.port;

import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.OutBuffer;
import java.nio.ByteBuffer;

/** Codec for messages between the gateway and a target. Implementations are stateless. */
public interface TargetCodec {
  /** Writes the message that opens a session at {@code target} of {@code group}. */
  void writeOpen(OutBuffer out, String group, String organisation, String target);

  /** Writes a command. */
  void writeCommand(OutBuffer out, TargetCommand command);

  /** Reads the next message from {@code in}; returns null if the message is incomplete. */
  TargetMessage decode(ByteBuffer in);

  /**
   * Returns whether a message may end in {@code received}, which begins with the last byte received
   * before; false only if none does.
   */
  boolean mayCompleteMessage(ByteBuffer received);

  /** Decodes the result row of {@link TargetCommand.Report}; returns null if it is malformed. */
  TargetReport decodeReport(String row);
}
