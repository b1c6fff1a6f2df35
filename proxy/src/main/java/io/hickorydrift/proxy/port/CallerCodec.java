package io.hickorydrift.proxy.port;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.CallerMessage;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.proxy.net.OutBuffer;
import java.nio.ByteBuffer;

/** Messages between a caller and the gateway. Implementations are stateless. */
public interface CallerCodec {
  /** Takes the next message off {@code in}, or returns null if it is not all there. */
  CallerMessage decode(ByteBuffer in);

  /** Writes a row of a result. */
  void writeRow(OutBuffer out, String row);

  /** Writes that a statement succeeded; {@code signature} is null if no target ran it. */
  void writeComplete(OutBuffer out, String signature);

  /** Writes that a statement failed. */
  void writeFailure(OutBuffer out, FailureCode code, String reason);

  /** Writes that the session waits for the next statement; {@code position} may be null. */
  void writeReady(OutBuffer out, SessionState state, Position position);
}
