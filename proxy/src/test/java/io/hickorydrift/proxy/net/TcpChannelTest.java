package io.hickorydrift.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.proxy.bench.FreePorts;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how a message that arrives in many pieces is passed to its handler. */
class TcpChannelTest {
  private static final int PIECES = 200;
  private static final int MAX_ITERATIONS = 500;
  private static final String LINE_END = "\r\n";
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

  /** Splits input at line ends of two bytes, and keeps the lines. */
  private static final class TwoByteLineEndHandler implements ChannelHandler {
    private final List<String> lines = new ArrayList<>();
    private long offeredBytes;

    @Override
    public boolean mayCompleteMessage(ByteBuffer chunk) {
      return StandardCharsets.ISO_8859_1.decode(chunk).toString().contains(LINE_END);
    }

    @Override
    public void received(ByteBuffer in) {
      offeredBytes += in.remaining();
      String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
      int end = text.lastIndexOf(LINE_END);
      if (end >= 0) {
        lines.addAll(List.of(text.substring(0, end).split(LINE_END)));
        in.position(in.position() + end + LINE_END.length());
      }
    }

    @Override
    public void closed(String reason) {}
  }

  private static TwoByteLineEndHandler receive(List<String> pieces, int lines) throws IOException {
    EventLoop loop = new EventLoop();
    TwoByteLineEndHandler handler = new TwoByteLineEndHandler();
    String address = FreePorts.nextAddress();
    new TcpListener(loop, address, channel -> handler);
    TcpChannel sender = TcpChannel.connect(loop, address, new LineHandler());
    for (String piece : pieces) {
      sender.out().text(piece);
      loop.runOnce(1);
      loop.runOnce(1);
    }
    for (int i = 0; i < MAX_ITERATIONS && handler.lines.size() < lines; i++) {
      loop.runOnce(10);
    }
    return handler;
  }

  /** Guards against a message that never ends because its end arrives in two pieces. */
  @Test
  void endOfMessageMayArriveInTwoPieces() throws IOException {
    assertThat(receive(List.of("one\r", "\ntwo", "\r", "\n"), 2).lines)
        .containsExactly("one", "two");
  }

  /** Guards against pieces that begin like the rest of an end, and cost a scan each. */
  @Test
  void piecesThatBeginWithTheSecondByteOfAnEndAreNotOffered() throws IOException {
    List<String> pieces = new ArrayList<>(Collections.nCopies(PIECES, "\n" + PIECE));
    pieces.add("\r\n");
    TwoByteLineEndHandler handler = receive(pieces, 1);
    int length = PIECES * (PIECE.length() + 1) + LINE_END.length();
    assertThat(handler.lines).containsExactly(("\n" + PIECE).repeat(PIECES));
    assertThat(handler.offeredBytes).isLessThan(2L * length);
  }
}
