package io.hickorydrift.core.session.encoder;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.session.Session;
import io.hickorydrift.core.session.TokenMac;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Map;

/**
 * Encodes sessions as authenticated tokens: version byte, organisation, positions, MAC tag.
 *
 * <p>Thread safety: thread-safe.
 */
public final class SessionEncoder {
  /** Version of the token format. */
  public static final int VERSION = 1;

  private final TokenMac mac;

  /** Creates an encoder that authenticates tokens with {@code mac}. */
  public SessionEncoder(TokenMac mac) {
    this.mac = mac;
  }

  /** Returns the token of {@code session}. */
  public String encode(Session session) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(VERSION);
      out.writeUTF(session.organisation());
      out.writeShort(session.positions().size());
      for (Map.Entry<String, Position> entry : session.positions().entrySet()) {
        out.writeUTF(entry.getKey());
        out.writeLong(entry.getValue().term());
        out.writeLong(entry.getValue().index());
      }
      byte[] body = bytes.toByteArray();
      out.write(mac.tag(body, body.length));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.toByteArray());
  }
}
