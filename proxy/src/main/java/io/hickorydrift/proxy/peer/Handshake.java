package io.hickorydrift.proxy.peer;

import io.hickorydrift.core.session.TokenMac;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * Opens a link: both sides prove that they know the fleet's secret over nonces of both.
 *
 * <p>Thread safety: safe.
 */
final class Handshake {
  private static final int MAGIC = 0x68644c31;
  private static final int NONCE_BYTES = 16;
  private static final int MAX_ID_BYTES = 200;
  private static final SecureRandom RANDOM = new SecureRandom();

  /** An opened link. */
  record AuthenticatedPeer(String peer, TokenMac mac) {}

  private Handshake() {}

  /** Runs the side that connects. */
  static AuthenticatedPeer connect(
      DataInputStream in, DataOutputStream out, TokenMac fleet, String self) throws IOException {
    byte[] clientNonce = nonce();
    out.writeInt(MAGIC);
    writeId(out, self);
    out.write(clientNonce);
    out.flush();
    String peer = readId(in);
    final byte[] serverNonce = in.readNBytes(NONCE_BYTES);
    expect(in, proof(fleet, "server", clientNonce, serverNonce, self, peer));
    out.write(proof(fleet, "client", clientNonce, serverNonce, self, peer));
    out.flush();
    return new AuthenticatedPeer(peer, FrameChannel.deriveLinkMac(fleet, clientNonce, serverNonce));
  }

  /** Runs the side that was connected to. */
  static AuthenticatedPeer accept(
      DataInputStream in, DataOutputStream out, TokenMac fleet, String self) throws IOException {
    if (in.readInt() != MAGIC) {
      throw new PeerException("not a peer", null);
    }
    final String peer = readId(in);
    final byte[] clientNonce = in.readNBytes(NONCE_BYTES);
    byte[] serverNonce = nonce();
    writeId(out, self);
    out.write(serverNonce);
    out.write(proof(fleet, "server", clientNonce, serverNonce, peer, self));
    out.flush();
    expect(in, proof(fleet, "client", clientNonce, serverNonce, peer, self));
    return new AuthenticatedPeer(peer, FrameChannel.deriveLinkMac(fleet, clientNonce, serverNonce));
  }

  private static byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return nonce;
  }

  private static void writeId(DataOutputStream out, String id) throws IOException {
    byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
    out.writeByte(bytes.length);
    out.write(bytes);
  }

  private static String readId(DataInputStream in) throws IOException {
    int length = in.readUnsignedByte();
    if (length > MAX_ID_BYTES) {
      throw new PeerException("instance id too long", null);
    }
    return new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }

  private static void expect(DataInputStream in, byte[] proof) throws IOException {
    if (!MessageDigest.isEqual(proof, in.readNBytes(proof.length))) {
      throw new PeerException("peer does not know the fleet's secret", null);
    }
  }

  private static byte[] proof(
      TokenMac fleet, String side, byte[] clientNonce, byte[] serverNonce, String a, String b)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeUTF(side);
    out.write(clientNonce);
    out.write(serverNonce);
    out.writeUTF(a);
    out.writeUTF(b);
    return fleet.tag(bytes.toByteArray(), bytes.size());
  }
}
