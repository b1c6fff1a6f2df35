package io.hickorydrift.proxy.port;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.statement.CallerMessage;
import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.proxy.net.OutBuffer;
import java.nio.ByteBuffer;

/** Codec for messages between a caller and the gateway. Implementations are stateless. */
public interface CallerCodec {
  /** Reads the next message from {@code in}; returns null if the message is incomplete. */
  CallerMessage decode(ByteBuffer in);

  /**
   * Returns whether a message may end in {@code received}, which begins with the last byte received
   * before; false only if none does.
   */
  boolean mayCompleteMessage(ByteBuffer received);

  /** Writes one row of a result set. */
  void writeRow(OutBuffer out, String row);

  /** Writes the success of a statement; {@code signature} is null if no target ran it. */
  void writeComplete(OutBuffer out, String signature);

  /** Writes the failure of a statement. */
  void writeFailure(OutBuffer out, FailureCode code, String reason);

  /** Writes that the session is ready for the next statement; {@code position} may be null. */
  void writeReady(OutBuffer out, SessionState state, Position position);
}
