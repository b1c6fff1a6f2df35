package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.proxy.net.OutBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Frames between instances: length in four bytes, then a type and the fields in MessagePack.
 *
 * <p>Thread safety: stateless.
 */
final class PeerMessageCodec {
  private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;
  static final int MAX_ITEMS = 100_000;
  private static final int PING = 1;
  private static final int PONG = 2;
  private static final int ASK_TOKENS = 3;
  private static final int GIVE_TOKENS = 4;
  private static final int ASK_DECLARATION = 5;
  private static final int GIVE_DECLARATION = 6;
  private static final int FORWARD = 7;
  private static final int RESULT = 8;
  private static final int END_TRANSACTION = 9;

  private PeerMessageCodec() {}

  /** Appends the frame of {@code message}. */
  static void write(OutBuffer out, PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, message);
      byte[] bytes = packer.toByteArray();
      int length = bytes.length;
      out.octet(length >>> 24).octet(length >>> 16).octet(length >>> 8).octet(length);
      out.octets(bytes);
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory failed", e);
    }
  }

  private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Ping ping) {
      packer.packInt(PING).packString(ping.instance()).packLong(ping.sequence());
    } else if (message instanceof PeerMessage.Pong pong) {
      packer.packInt(PONG).packLong(pong.sequence()).packLong(pong.version());
      packer.packLong(pong.proofAgeMs()).packLong(pong.revision());
      packer.packArrayHeader(pong.groups().size());
      for (PeerMessage.PrimaryStatus group : pong.groups()) {
        packNews(packer, group);
      }
    } else if (message instanceof PeerMessage.TokenRequest ask) {
      packer.packInt(ASK_TOKENS).packLong(ask.request().correlationId());
      packer.packString(ask.request().organisation()).packDouble(ask.request().tokens());
      packer.packArrayHeader(ask.request().usedGrants().size());
      for (long grant : ask.request().usedGrants()) {
        packer.packLong(grant);
      }
    } else if (message instanceof PeerMessage.TokenResponse give) {
      packer.packInt(GIVE_TOKENS).packLong(give.answer().correlationId());
      packer.packString(give.answer().organisation()).packLong(give.answer().grantId());
      packer.packDouble(give.answer().tokens());
    } else if (message instanceof PeerMessage.Forward forward) {
      packer.packInt(FORWARD);
      ForwardCodec.packForward(packer, forward);
    } else if (message instanceof PeerMessage.Result result) {
      packer.packInt(RESULT);
      ForwardCodec.packResult(packer, result);
    } else if (message instanceof PeerMessage.EndTransaction end) {
      packer.packInt(END_TRANSACTION).packLong(end.transaction());
    } else if (message instanceof PeerMessage.DeclarationRequest) {
      packer.packInt(ASK_DECLARATION);
    } else if (message instanceof PeerMessage.DeclarationResponse give) {
      packer.packInt(GIVE_DECLARATION).packBinaryHeader(give.value().length);
      packer.writePayload(give.value());
    }
  }

  private static void packNews(MessageBufferPacker packer, PeerMessage.PrimaryStatus news)
      throws IOException {
    packer.packString(news.group()).packBoolean(news.position() != null);
    if (news.position() != null) {
      packer.packLong(news.position().term()).packLong(news.position().index());
    }
    packer.packLong(news.ageMs()).packString(news.primary()).packLong(news.unreachableMs());
  }

  /**
   * Takes the next message off {@code in}, or returns null if it is not all there.
   *
   * @throws IllegalArgumentException if the bytes are no message
   */
  static PeerMessage read(ByteBuffer in) {
    if (in.remaining() < Integer.BYTES) {
      return null;
    }
    int length = in.getInt(in.position());
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new IllegalArgumentException("frame length out of range");
    }
    if (in.remaining() < Integer.BYTES + length) {
      return null;
    }
    in.position(in.position() + Integer.BYTES);
    byte[] bytes = new byte[length];
    in.get(bytes);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return unpack(unpacker);
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("frame cannot be read", e);
    }
  }

  private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    switch (type) {
      case PING:
        return new PeerMessage.Ping(unpacker.unpackString(), unpacker.unpackLong());
      case PONG:
        return unpackPong(unpacker);
      case ASK_TOKENS:
        return unpackAskTokens(unpacker);
      case GIVE_TOKENS:
        return new PeerMessage.TokenResponse(
            new GrantAnswer(
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackDouble()));
      case FORWARD:
        return ForwardCodec.unpackForward(unpacker);
      case RESULT:
        return ForwardCodec.unpackResult(unpacker);
      case END_TRANSACTION:
        return new PeerMessage.EndTransaction(unpacker.unpackLong());
      case ASK_DECLARATION:
        return new PeerMessage.DeclarationRequest();
      case GIVE_DECLARATION:
        return new PeerMessage.DeclarationResponse(
            unpacker.readPayload(checkCount(unpacker.unpackBinaryHeader(), MAX_FRAME_BYTES)));
      default:
        throw new IllegalArgumentException("unknown frame type " + type);
    }
  }

  private static PeerMessage unpackPong(MessageUnpacker unpacker) throws IOException {
    final long sequence = unpacker.unpackLong();
    final long version = unpacker.unpackLong();
    final long proofAgeMs = unpacker.unpackLong();
    final long revision = unpacker.unpackLong();
    int count = checkCount(unpacker.unpackArrayHeader(), MAX_ITEMS);
    List<PeerMessage.PrimaryStatus> groups = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String group = unpacker.unpackString();
      Position position =
          unpacker.unpackBoolean()
              ? new Position(unpacker.unpackLong(), unpacker.unpackLong())
              : null;
      groups.add(
          new PeerMessage.PrimaryStatus(
              group,
              position,
              unpacker.unpackLong(),
              unpacker.unpackString(),
              unpacker.unpackLong()));
    }
    return new PeerMessage.Pong(sequence, version, proofAgeMs, revision, groups);
  }

  private static PeerMessage unpackAskTokens(MessageUnpacker unpacker) throws IOException {
    final long correlationId = unpacker.unpackLong();
    final String organisation = unpacker.unpackString();
    final double tokens = unpacker.unpackDouble();
    int count = checkCount(unpacker.unpackArrayHeader(), MAX_ITEMS);
    List<Long> used = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      used.add(unpacker.unpackLong());
    }
    return new PeerMessage.TokenRequest(
        new GrantRequest(correlationId, organisation, tokens, used));
  }

  static int checkCount(int count, int most) {
    if (count > most) {
      throw new IllegalArgumentException("too many items in a frame");
    }
    return count;
  }
}
