package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.OutBuffer;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the frames between instances: a length in four bytes, followed by the message
 * type and the fields in MessagePack.
 *
 * <p>Thread safety: stateless.
 */
final class PeerMessageCodec {
  private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

  /** Maximum size of a frame with its length. */
  static final int MAX_MESSAGE_BYTES = Integer.BYTES + MAX_FRAME_BYTES;

  static final int MAX_ITEMS = 100_000;
  private static final int MAX_ENCODED_BYTES_PER_CHAR = 3;
  // Numbers, names, and the headers of the values of a session.
  private static final int MAX_BYTES_BESIDE_TEXTS = 64 * 1024;
  private static final int PING = 1;
  private static final int PONG = 2;
  private static final int TOKEN_REQUEST = 3;
  private static final int TOKEN_RESPONSE = 4;
  private static final int DECLARATION_REQUEST = 5;
  private static final int DECLARATION_RESPONSE = 6;
  private static final int FORWARD = 7;
  private static final int RESULT = 8;
  private static final int END_TRANSACTION = 9;
  private static final int DECLARATION_CHANGE = 10;
  private static final int SUBSCRIBE = 11;
  private static final int STORE_CHANGES = 12;
  private static final int CANCEL = 13;

  private PeerMessageCodec() {}

  /** Appends the frame of {@code message} and returns its length in bytes. */
  static int write(OutBuffer out, PeerMessage message) {
    byte[] bytes = encode(message);
    int length = bytes.length;
    out.octet(length >>> 24).octet(length >>> 16).octet(length >>> 8).octet(length);
    out.octets(bytes);
    return Integer.BYTES + length;
  }

  /**
   * Returns whether receivers accept the frame of a message with texts of {@code textLength}
   * characters in total; a longer frame makes them close the link.
   */
  static boolean fits(PeerMessage message, long textLength) {
    return textLength < MAX_FRAME_BYTES / MAX_ENCODED_BYTES_PER_CHAR - MAX_BYTES_BESIDE_TEXTS
        || encode(message).length <= MAX_FRAME_BYTES;
  }

  private static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding into memory failed", e);
    }
  }

  private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Ping ping) {
      packer.packInt(PING).packString(ping.instance()).packLong(ping.sequence());
      packer.packBoolean(ping.needsStatus()).packLong(ping.era());
    } else if (message instanceof PeerMessage.Pong pong) {
      packer.packInt(PONG).packLong(pong.sequence()).packLong(pong.version());
      packer.packLong(pong.proofAgeMs());
      packStorePosition(packer, pong.position());
      packer.packBoolean(pong.watching());
      packer.packArrayHeader(pong.groups().size());
      for (PeerMessage.PrimaryStatus group : pong.groups()) {
        packPrimaryStatus(packer, group);
      }
      packer.packArrayHeader(pong.unreachableTargets().size());
      for (String target : pong.unreachableTargets()) {
        packer.packString(target);
      }
      // The last field; instances of earlier versions ignore it.
      if (pong.protocolVersion() > 0) {
        packer.packInt(pong.protocolVersion());
      }
    } else if (message instanceof PeerMessage.TokenRequest tokenRequest) {
      packer.packInt(TOKEN_REQUEST).packLong(tokenRequest.request().correlationId());
      packer
          .packString(tokenRequest.request().organisation())
          .packDouble(tokenRequest.request().tokens());
      packer.packArrayHeader(tokenRequest.request().usedGrants().size());
      for (long grant : tokenRequest.request().usedGrants()) {
        packer.packLong(grant);
      }
      if (tokenRequest.urgentTokens() > 0) {
        packer.packDouble(tokenRequest.urgentTokens());
      }
    } else if (message instanceof PeerMessage.TokenResponse tokenResponse) {
      packer.packInt(TOKEN_RESPONSE).packLong(tokenResponse.answer().correlationId());
      packer
          .packString(tokenResponse.answer().organisation())
          .packLong(tokenResponse.answer().grantId());
      packer.packDouble(tokenResponse.answer().tokens());
    } else if (message instanceof PeerMessage.Forward forward) {
      packer.packInt(FORWARD);
      ForwardCodec.packForward(packer, forward);
    } else if (message instanceof PeerMessage.Result result) {
      packer.packInt(RESULT);
      ForwardCodec.packResult(packer, result);
    } else if (message instanceof PeerMessage.Cancel cancel) {
      packer.packInt(CANCEL).packLong(cancel.correlation());
    } else if (message instanceof PeerMessage.EndTransaction end) {
      packer.packInt(END_TRANSACTION).packLong(end.transaction());
    } else if (message instanceof PeerMessage.DeclarationRequest request) {
      packer.packInt(DECLARATION_REQUEST).packLong(request.version());
    } else if (message instanceof PeerMessage.DeclarationResponse declarationResponse) {
      packer.packInt(DECLARATION_RESPONSE).packBinaryHeader(declarationResponse.value().length);
      packer.writePayload(declarationResponse.value());
    } else if (message instanceof PeerMessage.DeclarationChange change) {
      packer.packInt(DECLARATION_CHANGE).packLong(change.baseVersion());
      packer.packBinaryHeader(change.delta().length).writePayload(change.delta());
    } else if (message instanceof PeerMessage.Subscribe subscribe) {
      packer.packInt(SUBSCRIBE);
      packStorePosition(packer, subscribe.position());
      packer.packLong(subscribe.version());
    } else if (message instanceof PeerMessage.StoreChanges changes) {
      packStoreChanges(packer, changes);
    }
  }

  private static void packStoreChanges(MessageBufferPacker packer, PeerMessage.StoreChanges changes)
      throws IOException {
    packer.packInt(STORE_CHANGES).packBoolean(changes.snapshot());
    packStorePosition(packer, changes.from());
    packStorePosition(packer, changes.position());
    packer.packLong(changes.failureAgeMs()).packArrayHeader(changes.items().size());
    for (Item item : changes.items()) {
      packer.packString(item.key()).packLong(item.revision());
      packer.packBoolean(item.value() != null);
      if (item.value() != null) {
        packer.packBinaryHeader(item.value().length).writePayload(item.value());
      }
    }
  }

  private static void packStorePosition(MessageBufferPacker packer, StorePosition position)
      throws IOException {
    packer.packLong(position.era()).packLong(position.revision());
  }

  private static StorePosition unpackStorePosition(MessageUnpacker unpacker) throws IOException {
    return new StorePosition(unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static void packPrimaryStatus(
      MessageBufferPacker packer, PeerMessage.PrimaryStatus status) throws IOException {
    packer.packString(status.group()).packBoolean(status.position() != null);
    if (status.position() != null) {
      packer.packLong(status.position().term()).packLong(status.position().index());
    }
    packer.packLong(status.ageMs()).packString(status.primary()).packLong(status.unreachableMs());
  }

  /**
   * Reads the next message from {@code in}, or returns null if the frame is incomplete.
   *
   * @throws IllegalArgumentException if the frame is malformed
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
      throw new IllegalArgumentException("malformed frame", e);
    }
  }

  private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    switch (type) {
      case PING:
        return new PeerMessage.Ping(
            unpacker.unpackString(),
            unpacker.unpackLong(),
            unpacker.unpackBoolean(),
            unpacker.unpackLong());
      case PONG:
        return unpackPong(unpacker);
      case TOKEN_REQUEST:
        return unpackTokenRequest(unpacker);
      case TOKEN_RESPONSE:
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
      case CANCEL:
        return new PeerMessage.Cancel(unpacker.unpackLong());
      case END_TRANSACTION:
        return new PeerMessage.EndTransaction(unpacker.unpackLong());
      case DECLARATION_REQUEST:
        return new PeerMessage.DeclarationRequest(unpacker.unpackLong());
      case DECLARATION_RESPONSE:
        return new PeerMessage.DeclarationResponse(unpackBytes(unpacker));
      case DECLARATION_CHANGE:
        return new PeerMessage.DeclarationChange(unpacker.unpackLong(), unpackBytes(unpacker));
      case SUBSCRIBE:
        return new PeerMessage.Subscribe(unpackStorePosition(unpacker), unpacker.unpackLong());
      case STORE_CHANGES:
        return unpackStoreChanges(unpacker);
      default:
        throw new IllegalArgumentException("unknown frame type " + type);
    }
  }

  private static PeerMessage unpackPong(MessageUnpacker unpacker) throws IOException {
    final long sequence = unpacker.unpackLong();
    final long version = unpacker.unpackLong();
    final long proofAgeMs = unpacker.unpackLong();
    final StorePosition applied = unpackStorePosition(unpacker);
    final boolean watching = unpacker.unpackBoolean();
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
    int unreachable = checkCount(unpacker.unpackArrayHeader(), MAX_ITEMS);
    List<String> targets = new ArrayList<>();
    for (int i = 0; i < unreachable; i++) {
      targets.add(unpacker.unpackString());
    }
    int protocolVersion = unpacker.hasNext() ? unpacker.unpackInt() : 0;
    return new PeerMessage.Pong(
        sequence, version, proofAgeMs, applied, watching, groups, targets, protocolVersion);
  }

  private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
    return unpacker.readPayload(checkCount(unpacker.unpackBinaryHeader(), MAX_FRAME_BYTES));
  }

  private static PeerMessage unpackStoreChanges(MessageUnpacker unpacker) throws IOException {
    final boolean snapshot = unpacker.unpackBoolean();
    final StorePosition from = unpackStorePosition(unpacker);
    final StorePosition position = unpackStorePosition(unpacker);
    final long failureAgeMs = unpacker.unpackLong();
    int count = checkCount(unpacker.unpackArrayHeader(), MAX_ITEMS);
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String key = unpacker.unpackString();
      long itemRevision = unpacker.unpackLong();
      byte[] value = unpacker.unpackBoolean() ? unpackBytes(unpacker) : null;
      items.add(new Item(key, value, itemRevision));
    }
    return new PeerMessage.StoreChanges(snapshot, from, position, failureAgeMs, items);
  }

  private static PeerMessage unpackTokenRequest(MessageUnpacker unpacker) throws IOException {
    final long correlationId = unpacker.unpackLong();
    final String organisation = unpacker.unpackString();
    final double tokens = unpacker.unpackDouble();
    int count = checkCount(unpacker.unpackArrayHeader(), MAX_ITEMS);
    List<Long> usedGrants = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      usedGrants.add(unpacker.unpackLong());
    }
    // The previous version, and requests without urgent operations, end here.
    double urgentTokens = unpacker.hasNext() ? unpacker.unpackDouble() : 0;
    return new PeerMessage.TokenRequest(
        new GrantRequest(correlationId, organisation, tokens, usedGrants), urgentTokens);
  }

  static int checkCount(int count, int max) {
    if (count > max) {
      throw new IllegalArgumentException("too many items in a frame");
    }
    return count;
  }
}
