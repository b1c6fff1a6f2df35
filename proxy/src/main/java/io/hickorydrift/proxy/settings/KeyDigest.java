package io.hickorydrift.proxy.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Digests of callers' keys and operators' credentials. Only digests are stored; keys are random, so
 * a plain digest gives nothing away.
 *
 * <p>Thread safety: safe.
 */
public final class KeyDigest {
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final int KEY_BYTES = 24;

  private KeyDigest() {}

  /** Returns a new random key. */
  public static String newKey() {
    byte[] key = new byte[KEY_BYTES];
    RANDOM.nextBytes(key);
    return "hd_" + Base64.getUrlEncoder().withoutPadding().encodeToString(key);
  }

  /** Returns the digest of {@code key} as it stands in settings. */
  public static String of(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return "sha256:" + HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every JDK", e);
    }
  }

  /** Compares two digests in a time that does not depend on where they differ. */
  public static boolean constantTimeEquals(String left, String right) {
    return left != null
        && right != null
        && MessageDigest.isEqual(
            left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
  }
}
