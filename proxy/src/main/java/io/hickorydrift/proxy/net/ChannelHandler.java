package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;

/** Receives the events of a connection. Called on the event loop's thread only. */
public interface ChannelHandler {
  /** Called when the connection is established. */
  default void connected() {}

  /**
   * Called when bytes were received. Bytes left unread in {@code in} are passed again, followed by
   * those received next.
   */
  void received(ByteBuffer in);

  /**
   * Returns whether the message whose beginning was received before may end in {@code chunk}: the
   * last byte received before, and the bytes received now. If not, they are kept and {@link
   * #received} is not called yet, so that a message that arrives in many pieces is not scanned from
   * its start for each of them.
   */
  default boolean mayCompleteMessage(ByteBuffer chunk) {
    return true;
  }

  /** Returns the maximum size of a message, and so the memory for one that is not complete. */
  default int maxMessageBytes() {
    return 1 << 20;
  }

  /**
   * Called when the remote end has closed its sending direction. Returns whether requests that were
   * received before are still to be answered; the handler then closes the connection when they are.
   * Otherwise the connection is closed.
   */
  default boolean continuesAfterRemoteEnd() {
    return false;
  }

  /** Called once after {@link TcpChannel#notifyWhenSent} when no byte is left to send. */
  default void sent() {}

  /**
   * Called once when the connection fails or the remote end closes it; not called if this side
   * does.
   */
  void closed(String reason);
}
