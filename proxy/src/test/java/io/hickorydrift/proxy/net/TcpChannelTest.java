package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.proxy.bench.FreePorts;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests how a message that arrives in many pieces is passed to its handler. */
class TcpChannelTest {
  private static final int PIECES = 200;
  private static final int MAX_ITERATIONS = 500;
  private static final String PIECE = "x".repeat(1_000);

  /** Splits input at line ends and counts the bytes it was offered. */
  private static final class LineHandler implements ChannelHandler {
    private long offeredBytes;
    private int lineLength = -1;

    @Override
    public boolean mayCompleteMessage(ByteBuffer chunk) {
      return StandardCharsets.ISO_8859_1.decode(chunk).toString().indexOf('\n') >= 0;
    }

    @Override
    public void received(ByteBuffer in) {
      offeredBytes += in.remaining();
      String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
      if (text.endsWith("\n")) {
        lineLength = in.remaining();
        in.position(in.limit());
      }
    }

    @Override
    public void closed(String reason) {}
  }

  @Test
  void longMessageInManyPiecesIsNotOfferedForEachPiece() throws IOException {
    EventLoop loop = new EventLoop();
    LineHandler handler = new LineHandler();
    String address = FreePorts.nextAddress();
    new TcpListener(loop, address, channel -> handler);
    LineHandler unused = new LineHandler();
    TcpChannel sender = TcpChannel.connect(loop, address, unused);
    for (int i = 0; i < PIECES; i++) {
      sender.out().text(PIECE);
      loop.runOnce(1);
      loop.runOnce(1);
    }
    sender.out().text("\n");
    for (int i = 0; i < MAX_ITERATIONS && handler.lineLength < 0; i++) {
      loop.runOnce(10);
    }
    int length = PIECES * PIECE.length() + 1;
    assertThat(handler.lineLength).isEqualTo(length);
    assertThat(handler.offeredBytes).isLessThan(2L * length);
  }
}
