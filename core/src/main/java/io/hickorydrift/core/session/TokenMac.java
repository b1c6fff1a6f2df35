package io.hickorydrift.core.session;

import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes message authentication codes with the secret that all instances of a fleet share.
 *
 * <p>Thread safety: thread-safe; each call uses its own {@link Mac}.
 */
public final class TokenMac {
  /** Length of a tag in bytes. */
  public static final int TAG_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  /** Creates a MAC keyed with {@code secret}, which must not be empty. */
  public TokenMac(byte[] secret) {
    key = new SecretKeySpec(secret, ALGORITHM);
  }

  /** Returns the tag of the first {@code length} bytes of {@code data}. */
  public byte[] tag(byte[] data, int length) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(data, 0, length);
      byte[] tag = new byte[TAG_BYTES];
      System.arraycopy(mac.doFinal(), 0, tag, 0, TAG_BYTES);
      return tag;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is part of every JDK", e);
    }
  }
}
