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
  void row(OutBuffer out, String row);

  /** Writes that a statement succeeded; {@code signature} is null if no target ran it. */
  void complete(OutBuffer out, String signature);

  /** Writes that a statement failed. */
  void failure(OutBuffer out, FailureCode code, String reason);

  /** Writes that the session waits for the next statement; {@code position} may be null. */
  void ready(OutBuffer out, SessionState state, Position position);
}
