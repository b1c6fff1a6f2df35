package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;

/** What happens on a connection. Called on the loop's thread only. */
public interface ChannelHandler {
  /** The connection is open. */
  default void connected() {}

  /** Bytes came; what is left in {@code in} comes again together with the next ones. */
  void received(ByteBuffer in);

  /** The connection is gone, unless this side closed it. Called once. */
  void closed(String reason);
}
