package io.hickorydrift.proxy.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hickorydrift.core.message.PeerType;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Turns messages into bytes and back: a byte for the kind, then MessagePack.
 *
 * <p>Thread safety: safe.
 */
public final class MessagePackCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .setSerializationInclusion(JsonInclude.Include.NON_NULL)
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
  private static final Map<Class<?>, PeerType> BY_CLASS = new HashMap<>();
  private static final PeerType[] BY_NUMBER = new PeerType[Byte.MAX_VALUE + 1];

  static {
    for (PeerType type : PeerType.values()) {
      BY_CLASS.put(type.type(), type);
      BY_NUMBER[type.number()] = type;
    }
  }

  private MessagePackCodec() {}

  /** Returns the bytes of {@code message}. */
  public static byte[] encode(Record message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(BY_CLASS.get(message.getClass()).number());
    try {
      MAPPER.writeValue(bytes, message);
    } catch (IOException e) {
      throw new PeerException("cannot write a message", e);
    }
    return bytes.toByteArray();
  }

  /** Returns the message in {@code bytes}; throws {@link PeerException} if there is none. */
  public static Record decode(byte[] bytes) {
    PeerType type = bytes.length > 0 && bytes[0] > 0 ? BY_NUMBER[bytes[0]] : null;
    if (type == null) {
      throw new PeerException("unknown kind of message", null);
    }
    try {
      Record message = MAPPER.readValue(bytes, 1, bytes.length - 1, type.type());
      if (message == null) {
        throw new PeerException("empty message", null);
      }
      return message;
    } catch (IOException | RuntimeException e) {
      throw new PeerException("malformed message", e);
    }
  }
}
