package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;

/**
 * Reads and writes the frames of an authenticated link: length, tag, payload. The tag covers the
 * frame's sequence number, so a forged, replayed, missing or reordered frame is detected and closes
 * the link.
 *
 * <p>Thread safety: one thread may write while another reads.
 */
final class FrameChannel {
  /** Maximum size of a payload. */
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Size of the length and tag in front of the payload. */
  static final int HEADER_BYTES = Integer.BYTES + TokenMac.TAG_BYTES;

  private final DataInputStream in;
  private final DataOutputStream out;
  private final TokenMac mac;
  private long framesWritten;
  private long framesRead;

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
    out.write(computeTag(framesWritten++, payload));
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
      throw new PeerException("frame truncated", null);
    }
    if (!MessageDigest.isEqual(tag, computeTag(framesRead++, payload))) {
      throw new PeerException("frame tag does not match", null);
    }
    return payload;
  }

  private byte[] computeTag(long sequenceNumber, byte[] payload) {
    byte[] numbered =
        ByteBuffer.allocate(Long.BYTES + payload.length).putLong(sequenceNumber).array();
    System.arraycopy(payload, 0, numbered, Long.BYTES, payload.length);
    return mac.tag(numbered, numbered.length);
  }

  /** Derives the MAC of a link from the fleet's secret and the nonces of both sides. */
  static TokenMac deriveLinkMac(TokenMac fleetMac, byte[] clientNonce, byte[] serverNonce) {
    byte[] both = Arrays.copyOf(clientNonce, clientNonce.length + serverNonce.length);
    System.arraycopy(serverNonce, 0, both, clientNonce.length, serverNonce.length);
    return new TokenMac(fleetMac.tag(both, both.length));
  }
}
