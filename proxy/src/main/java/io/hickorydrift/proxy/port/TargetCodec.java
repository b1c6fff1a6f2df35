package io.hickorydrift.proxy.port;

import io.hickorydrift.core.statement.TargetCommand;
import io.hickorydrift.core.statement.TargetMessage;
import io.hickorydrift.core.statement.TargetReport;
import io.hickorydrift.proxy.net.OutBuffer;
import java.nio.ByteBuffer;

/** Messages between the gateway and a target. Implementations are stateless. */
public interface TargetCodec {
  /** Writes the opening of a session at the target {@code target} of {@code group}. */
  void writeOpen(OutBuffer out, String group, String organisation, String target);

  /** Writes a command. */
  void writeCommand(OutBuffer out, TargetCommand command);

  /** Takes the next message off {@code in}, or returns null if it is not all there. */
  TargetMessage decode(ByteBuffer in);

  /** Reads the row that answers {@link TargetCommand.Report}; null if it is none. */
  TargetReport decodeReport(String row);
}
