package io.hickorydrift.core.statement;

import java.io.UnsupportedEncodingException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/**
 * A prepared statement. On target connections, its name is a digest of its content, so that callers
 * that prepare the same statement share it, and so that a name never denotes another content.
 *
 * <p>Invariant: equal content has equal names. Thread safety: immutable.
 */
public final class PreparedStatement {
  /** Length of each {@linkplain #sharedName shared name}. */
  public static final int SHARED_NAME_LENGTH = 34;

  // 192 bits: a multiple of 6, and too many for two shapes with one name to be found by search.
  private static final int DIGEST_BYTES = 24;
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

  private final boolean writes;
  private final String shape;
  private final String sharedName;

  /**
   * Creates a prepared statement and computes its name.
   *
   * @param writes whether executing it writes
   * @param shape query shape: the statement without its arguments
   */
  public PreparedStatement(boolean writes, String shape) {
    this(writes, shape, (writes ? "w_" : "r_") + digest(shape));
  }

  private PreparedStatement(boolean writes, String shape, String sharedName) {
    this.writes = writes;
    this.shape = shape;
    this.sharedName = sharedName;
  }

  /**
   * Returns a statement whose name another instance has computed, since the digest of a long shape
   * takes milliseconds.
   */
  public static PreparedStatement named(boolean writes, String shape, String sharedName) {
    return new PreparedStatement(writes, shape, sharedName);
  }

  private static String digest(String shape) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(shape.getBytes("UTF-8"));
      return ENCODER.encodeToString(Arrays.copyOf(digest, DIGEST_BYTES));
    } catch (NoSuchAlgorithmException | UnsupportedEncodingException e) {
      throw new IllegalStateException("SHA-256 and UTF-8 are part of each Java platform", e);
    }
  }

  /** Returns whether executing the statement writes. */
  public boolean writes() {
    return writes;
  }

  /** Returns the query shape: the statement without its arguments. */
  public String shape() {
    return shape;
  }

  /** Returns the name of the statement on target connections: letters, digits, '-' and '_'. */
  public String sharedName() {
    return sharedName;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof PreparedStatement that
        && writes == that.writes
        && shape.equals(that.shape);
  }

  @Override
  public int hashCode() {
    return sharedName.hashCode();
  }

  @Override
  public String toString() {
    return sharedName;
  }
}
