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
 * Authenticates a new link: each side proves possession of the fleet's secret by a MAC over the
 * nonces of both sides.
 *
 * <p>Thread safety: safe.
 */
final class Handshake {
  private static final int MAGIC = 0x68644c31;
  private static final int NONCE_BYTES = 16;
  private static final int MAX_ID_BYTES = 200;
  private static final SecureRandom RANDOM = new SecureRandom();

  /**
   * Result of a handshake.
   *
   * @param peer id of the peer
   * @param mac MAC of the frames on this link
   */
  record AuthenticatedPeer(String peer, TokenMac mac) {}

  private Handshake() {}

  /** Runs the handshake on the connecting side. */
  static AuthenticatedPeer connect(
      DataInputStream in, DataOutputStream out, TokenMac fleetMac, String self) throws IOException {
    byte[] clientNonce = newNonce();
    out.writeInt(MAGIC);
    writeId(out, self);
    out.write(clientNonce);
    out.flush();
    String peer = readId(in);
    final byte[] serverNonce = in.readNBytes(NONCE_BYTES);
    verifyProof(in, proof(fleetMac, "server", clientNonce, serverNonce, self, peer));
    out.write(proof(fleetMac, "client", clientNonce, serverNonce, self, peer));
    out.flush();
    return new AuthenticatedPeer(
        peer, FrameChannel.deriveLinkMac(fleetMac, clientNonce, serverNonce));
  }

  /** Runs the handshake on the accepting side. */
  static AuthenticatedPeer accept(
      DataInputStream in, DataOutputStream out, TokenMac fleetMac, String self) throws IOException {
    if (in.readInt() != MAGIC) {
      throw new PeerException("connection does not use the peer protocol", null);
    }
    final String peer = readId(in);
    final byte[] clientNonce = in.readNBytes(NONCE_BYTES);
    byte[] serverNonce = newNonce();
    writeId(out, self);
    out.write(serverNonce);
    out.write(proof(fleetMac, "server", clientNonce, serverNonce, peer, self));
    out.flush();
    verifyProof(in, proof(fleetMac, "client", clientNonce, serverNonce, peer, self));
    return new AuthenticatedPeer(
        peer, FrameChannel.deriveLinkMac(fleetMac, clientNonce, serverNonce));
  }

  private static byte[] newNonce() {
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

  private static void verifyProof(DataInputStream in, byte[] proof) throws IOException {
    if (!MessageDigest.isEqual(proof, in.readNBytes(proof.length))) {
      throw new PeerException("peer failed to prove the fleet's secret", null);
    }
  }

  private static byte[] proof(
      TokenMac fleetMac,
      String side,
      byte[] clientNonce,
      byte[] serverNonce,
      String clientId,
      String serverId)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeUTF(side);
    out.write(clientNonce);
    out.write(serverNonce);
    out.writeUTF(clientId);
    out.writeUTF(serverId);
    return fleetMac.tag(bytes.toByteArray(), bytes.size());
  }
}
