package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;

/**
 * Frames on an authenticated link: length, tag, payload. The tag covers the frame's number, so that
 * a frame that is forged, repeated, left out or out of order ends the link.
 *
 * <p>Thread safety: one thread may write while another reads.
 */
final class FrameChannel {
  /** Largest payload in bytes. */
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Bytes of a frame before its payload. */
  static final int HEADER_BYTES = Integer.BYTES + TokenMac.TAG_BYTES;

  private final DataInputStream in;
  private final DataOutputStream out;
  private final TokenMac mac;
  private long sent;
  private long read;

  FrameChannel(DataInputStream in, DataOutputStream out, TokenMac mac) {
    this.in = in;
    this.out = out;
    this.mac = mac;
  }

  void write(byte[] payload) throws IOException {
    if (payload.length > MAX_FRAME_BYTES) {
      throw new PeerException("frame too large", null);
    }
    out.writeInt(payload.length);
    out.write(tag(sent++, payload));
    out.write(payload);
  }

  void flush() throws IOException {
    out.flush();
  }

  byte[] read() throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new PeerException("frame length out of range", null);
    }
    byte[] tag = new byte[TokenMac.TAG_BYTES];
    in.readFully(tag);
    byte[] payload = in.readNBytes(length);
    if (payload.length < length) {
      throw new PeerException("frame cut short", null);
    }
    if (!MessageDigest.isEqual(tag, tag(read++, payload))) {
      throw new PeerException("frame not authentic", null);
    }
    return payload;
  }

  private byte[] tag(long number, byte[] payload) {
    byte[] numbered = ByteBuffer.allocate(Long.BYTES + payload.length).putLong(number).array();
    System.arraycopy(payload, 0, numbered, Long.BYTES, payload.length);
    return mac.tag(numbered, numbered.length);
  }

  /** Returns the mac of a link, from the fleet's secret and both sides' nonces. */
  static TokenMac deriveLinkMac(TokenMac fleet, byte[] clientNonce, byte[] serverNonce) {
    byte[] both = Arrays.copyOf(clientNonce, clientNonce.length + serverNonce.length);
    System.arraycopy(serverNonce, 0, both, clientNonce.length, serverNonce.length);
    return new TokenMac(fleet.tag(both, both.length));
  }
}
