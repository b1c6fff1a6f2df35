package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.FailureCode;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.TcpChannel;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections of callers beyond the maximum number of sessions. A few of them are told the reason;
 * the others are closed at once.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class RefusedConnections {
  // Telling the reason holds the descriptor for a moment; a flood would use up all of them.
  private static final int MAX_REFUSED_CHANNELS = 16;
  private static final String TOO_MANY_SESSIONS = "too many sessions; retry in 1000 ms";

  private final List<TcpChannel> channels = new ArrayList<>();

  /** Refuses the connection and returns its handler. */
  ChannelHandler refuse(TcpChannel channel, GatewayContext context) {
    context.requestLog().logDecision("-", "decision=refused reason=\"{}\"", TOO_MANY_SESSIONS);
    channels.removeIf(TcpChannel::isClosed);
    if (channels.size() >= MAX_REFUSED_CHANNELS) {
      channel.close();
    } else {
      channels.add(channel);
      context.callerCodec().writeFailure(channel.out(), FailureCode.BUSY, TOO_MANY_SESSIONS);
      channel.closeAfterFlush();
    }
    return new RefusedConnection();
  }

  /** Ignores what a caller sends on a connection that is being closed. */
  private static final class RefusedConnection implements ChannelHandler {
    @Override
    public void received(ByteBuffer in) {
      in.position(in.limit());
    }

    @Override
    public void closed(String reason) {}
  }
}
