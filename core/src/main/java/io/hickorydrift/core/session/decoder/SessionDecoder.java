package io.hickorydrift.core.session.decoder;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.session.Session;
import io.hickorydrift.core.session.TokenMac;
import io.hickorydrift.core.session.encoder.SessionEncoder;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Decodes session tokens. A token that was not issued by the fleet is refused with {@link
 * ResultCode#BAD_SESSION}.
 *
 * <p>Thread safety: thread-safe.
 */
public final class SessionDecoder {
  /** Maximum length of a token, in characters. */
  public static final int MAX_TOKEN_CHARS = 16_384;

  private final TokenMac mac;

  /** Creates a decoder that verifies tokens with {@code mac}. */
  public SessionDecoder(TokenMac mac) {
    this.mac = mac;
  }

  /** Returns the session in {@code token}, which must belong to {@code organisation}. */
  public Session decode(String token, String organisation) {
    Session session = decode(token);
    if (!session.organisation().equals(organisation)) {
      throw badSession();
    }
    return session;
  }

  private Session decode(String token) {
    if (token.length() > MAX_TOKEN_CHARS) {
      throw badSession();
    }
    byte[] bytes;
    try {
      bytes = Base64.getUrlDecoder().decode(token);
    } catch (IllegalArgumentException e) {
      throw badSession();
    }
    int bodyLength = bytes.length - TokenMac.TAG_BYTES;
    if (bodyLength < 1) {
      throw badSession();
    }
    byte[] tag = Arrays.copyOfRange(bytes, bodyLength, bytes.length);
    if (!MessageDigest.isEqual(tag, mac.tag(bytes, bodyLength))) {
      throw badSession();
    }
    return read(bytes, bodyLength);
  }

  private static Session read(byte[] bytes, int bodyLength) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, 0, bodyLength))) {
      if (in.readByte() != SessionEncoder.VERSION) {
        throw badSession();
      }
      String organisation = in.readUTF();
      int groups = in.readUnsignedShort();
      SortedMap<String, Position> positions = new TreeMap<>();
      for (int i = 0; i < groups; i++) {
        String group = in.readUTF();
        positions.put(group, new Position(in.readLong(), in.readLong()));
      }
      return new Session(organisation, positions);
    } catch (IOException e) {
      throw badSession();
    }
  }

  private static ProxyException badSession() {
    return new ProxyException(ResultCode.BAD_SESSION, null);
  }
}
