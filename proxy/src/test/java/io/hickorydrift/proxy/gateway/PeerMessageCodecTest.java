package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.declaration.Consistency;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.PreparedStatement;
import io.hickorydrift.core.statement.SessionState;
import io.hickorydrift.core.statement.Statement;
import io.hickorydrift.core.statement.StatementKind;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.OutBuffer;
import io.hickorydrift.proxy.port.KeyValueStore;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class PeerMessageCodecTest {
  private static PeerMessage.Forward forward(AllowedRegions allowed) {
    return forward(allowed, false);
  }

  private static PeerMessage.Forward forward(AllowedRegions allowed, boolean begun) {
    return new PeerMessage.Forward(
        4,
        new PeerMessage.TransactionRef(9, begun),
        true,
        "red",
        new Route("", "g", Consistency.BOUNDED_STALENESS, 800, 250, 1, 1_500, true, Set.of()),
        new Statement("q1", StatementKind.READ, "READ a1", "", "", false),
        null,
        Map.of("color", "blue"),
        new Position(3, 1207),
        true,
        12,
        allowed);
  }

  private static PeerMessage.Forward execution(PreparedStatement prepared) {
    PeerMessage.Forward read = forward(AllowedRegions.ALL);
    return new PeerMessage.Forward(
        read.correlation(),
        read.transaction(),
        read.readOnly(),
        read.organisation(),
        read.route(),
        new Statement("q1", StatementKind.EXECUTE, "", "s", "a1", false),
        prepared,
        read.values(),
        read.lastCommit(),
        read.counted(),
        read.ageMs(),
        read.allowed());
  }

  static List<PeerMessage> messages() {
    return List.of(
        execution(new PreparedStatement(false, "q1 WRITE yr")),
        forward(AllowedRegions.ALL),
        forward(AllowedRegions.ALL, true),
        forward(AllowedRegions.of(Set.of("north", "south"), Set.of())),
        forward(AllowedRegions.of(Set.of("north"), Set.of("south"))),
        new PeerMessage.Ping("gw-1", 7, true, 3),
        new PeerMessage.Pong(
            7,
            12,
            -1,
            new StorePosition(3, 530),
            true,
            List.of(
                new PeerMessage.PrimaryStatus("g", new Position(3, 1207), 40, "t1", 0),
                new PeerMessage.PrimaryStatus("h", null, 0, "", 900)),
            List.of("t4")),
        new PeerMessage.Pong(8, 12, 3, StorePosition.NONE, true, List.of(), List.of("t4"), 1),
        new PeerMessage.Cancel(4),
        new PeerMessage.TokenRequest(new GrantRequest(4, "red", 1.5, List.of(1L, 2L)), 0),
        new PeerMessage.TokenRequest(new GrantRequest(4, "red", 3, List.of()), 2),
        new PeerMessage.TokenResponse(new GrantAnswer(4, "red", 9, 0.25)),
        new PeerMessage.DeclarationRequest(12),
        new PeerMessage.Subscribe(new StorePosition(3, 530), 12),
        new PeerMessage.StoreChanges(
            false,
            new StorePosition(3, 530),
            new StorePosition(3, 532),
            90_000,
            List.of(new KeyValueStore.Item("targets/t1", null, 531))));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void readsWrittenMessageOnceItsFrameIsComplete(PeerMessage message) {
    OutBuffer out = new OutBuffer();
    PeerMessageCodec.write(out, message);
    byte[] bytes = out.toBytes();
    assertThat(PeerMessageCodec.read(ByteBuffer.wrap(bytes))).isEqualTo(message);
    for (int cut = 0; cut < bytes.length; cut++) {
      assertThat(PeerMessageCodec.read(ByteBuffer.wrap(bytes, 0, cut))).isNull();
    }
  }

  /** Guards against a fleet that cannot forward statements while it is being updated. */
  @Test
  void forwardOfPreviousVersionIsNotRestricted() {
    PeerMessage.Forward message = forward(AllowedRegions.ALL);
    OutBuffer out = new OutBuffer();
    PeerMessageCodec.write(out, message);
    byte[] bytes = out.toBytes();
    // That version ends before the flag and the empty list, of one byte each, and what follows.
    ByteBuffer previous = ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length - 3));
    previous.putInt(0, previous.remaining() - Integer.BYTES);
    assertThat(PeerMessageCodec.read(previous)).isEqualTo(message);
  }

  /** Guards against a fleet that refuses all transactions while it is being updated. */
  @Test
  void forwardOfPreviousVersionDoesNotSayThatItsTransactionHasBegun() {
    byte[] bytes = frame(forward(AllowedRegions.ALL, true));
    ByteBuffer previous = ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length - 1));
    previous.putInt(0, previous.remaining() - Integer.BYTES);
    assertThat(PeerMessageCodec.read(previous)).isEqualTo(forward(AllowedRegions.ALL, false));
  }

  /** Guards against a digest that the home computes for each execution. */
  @Test
  void forwardCarriesTheNameOfItsPreparedStatement() {
    PreparedStatement prepared = PreparedStatement.named(true, "q1", "name");
    PeerMessage.Forward read =
        (PeerMessage.Forward) PeerMessageCodec.read(ByteBuffer.wrap(frame(execution(prepared))));
    assertThat(read.preparedStatement().sharedName()).isEqualTo("name");
  }

  @Test
  void nameOfPreparedStatementOfPreviousVersionIsComputed() {
    PreparedStatement prepared = new PreparedStatement(true, "q1");
    byte[] bytes = frame(execution(prepared));
    int nameBytes = 2 + PreparedStatement.SHARED_NAME_LENGTH;
    ByteBuffer previous = ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length - nameBytes));
    previous.putInt(0, previous.remaining() - Integer.BYTES);
    PeerMessage.Forward read = (PeerMessage.Forward) PeerMessageCodec.read(previous);
    assertThat(read.preparedStatement().sharedName()).isEqualTo(prepared.sharedName());
  }

  /** Guards against a frame that makes its receiver close the link. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "é"})
  void longestResultIsReadAndOneByteMoreDoesNotFit(String letter) {
    int bytesBesideRow = frame(result("x".repeat(70_000))).length - 70_000;
    int bytes = PeerMessageCodec.MAX_MESSAGE_BYTES - bytesBesideRow;
    int letterBytes = letter.equals("x") ? 1 : 2;
    String longest = letter.repeat(bytes / letterBytes) + "x".repeat(bytes % letterBytes);
    assertThat(PeerMessageCodec.fits(result(longest), longest.length())).isTrue();
    assertThat(PeerMessageCodec.read(ByteBuffer.wrap(frame(result(longest)))))
        .isEqualTo(result(longest));
    assertThat(PeerMessageCodec.fits(result(longest + "x"), longest.length() + 1)).isFalse();
  }

  private static PeerMessage.Result result(String row) {
    return new PeerMessage.Result(
        4, new StatementOutcome(List.of(row), "sig", null, "", SessionState.IDLE, null));
  }

  /** Guards against requests for tokens that the previous version cannot read. */
  @Test
  void tokenRequestWithoutUrgentOperationsIsThatOfThePreviousVersion() {
    GrantRequest request = new GrantRequest(4, "red", 3, List.of());
    OutBuffer urgent = new OutBuffer();
    PeerMessageCodec.write(urgent, new PeerMessage.TokenRequest(request, 2));
    OutBuffer plain = new OutBuffer();
    PeerMessageCodec.write(plain, new PeerMessage.TokenRequest(request, 0));
    byte[] bytes = urgent.toBytes();
    // The number of urgent tokens, the last field, takes 9 bytes.
    ByteBuffer previous = ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length - 9));
    previous.putInt(0, previous.remaining() - Integer.BYTES);
    assertThat(plain.toBytes()).isEqualTo(previous.array());
  }

  /**
   * The previous version reads the fields that it knows and ignores what follows them, and its own
   * pong ends before the protocol version.
   */
  @Test
  void protocolVersionFollowsTheFieldsThatThePreviousVersionReads() {
    PeerMessage.Pong newer =
        new PeerMessage.Pong(7, 12, 3, StorePosition.NONE, true, List.of(), List.of("t4"), 1);
    PeerMessage.Pong previous =
        new PeerMessage.Pong(7, 12, 3, StorePosition.NONE, true, List.of(), List.of("t4"));
    byte[] newerBytes = frame(newer);
    byte[] previousBytes = frame(previous);
    assertThat(Arrays.copyOfRange(newerBytes, Integer.BYTES, newerBytes.length - 1))
        .isEqualTo(Arrays.copyOfRange(previousBytes, Integer.BYTES, previousBytes.length));
    assertThat(PeerMessageCodec.read(ByteBuffer.wrap(previousBytes))).isEqualTo(previous);
    // A field that a later version adds.
    ByteBuffer later = ByteBuffer.wrap(Arrays.copyOf(newerBytes, newerBytes.length + 1));
    later.putInt(0, later.remaining() - Integer.BYTES);
    assertThat(PeerMessageCodec.read(later)).isEqualTo(newer);
  }

  private static byte[] frame(PeerMessage message) {
    OutBuffer out = new OutBuffer();
    PeerMessageCodec.write(out, message);
    return out.toBytes();
  }

  @Property(tries = 2_000, seed = "20261204")
  void arbitraryBytesAreDecodedOrRejected(@ForAll @Size(max = 120) byte[] bytes) {
    ByteBuffer in = ByteBuffer.allocate(bytes.length + 4);
    in.putInt(bytes.length).put(bytes).flip();
    try {
      PeerMessageCodec.read(in);
    } catch (IllegalArgumentException expected) {
      assertThat(expected.getMessage()).isNotEmpty();
    }
  }

  @ParameterizedTest
  @org.junit.jupiter.params.provider.ValueSource(ints = {0, -1, Integer.MAX_VALUE})
  void rejectsFrameLengthOutOfRange(int length) {
    ByteBuffer in = ByteBuffer.allocate(8).putInt(length).putInt(0).flip();
    assertThatThrownBy(() -> PeerMessageCodec.read(in))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
