package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Bytes on their way out.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class OutBuffer {
  private static final int INITIAL_BYTES = 256;
  private static final int KEPT_BYTES = 16 * 1024;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private int start;
  private int end;

  /** Appends {@code text}, a byte for each character, as it was decoded. */
  @SuppressWarnings("deprecation")
  public OutBuffer text(String text) {
    int length = text.length();
    reserve(length);
    text.getBytes(0, length, bytes, end);
    end += length;
    return this;
  }

  /** Appends one byte. */
  public OutBuffer octet(int value) {
    reserve(1);
    bytes[end++] = (byte) value;
    return this;
  }

  /** Appends {@code more}. */
  public OutBuffer octets(byte[] more) {
    reserve(more.length);
    System.arraycopy(more, 0, bytes, end, more.length);
    end += more.length;
    return this;
  }

  /** Appends {@code text} in UTF-8. */
  public OutBuffer utf8(String text) {
    return octets(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns how many bytes wait. */
  public int size() {
    return end - start;
  }

  /** Moves as much as fits into {@code target}. */
  void copyTo(ByteBuffer target) {
    target.put(bytes, start, Math.min(size(), target.remaining()));
  }

  /** Removes the first {@code count} bytes. */
  void discard(int count) {
    start += count;
    if (start == end) {
      start = 0;
      end = 0;
      if (bytes.length > KEPT_BYTES) {
        bytes = new byte[INITIAL_BYTES];
      }
    }
  }

  private void reserve(int count) {
    if (end + count <= bytes.length) {
      return;
    }
    int needed = size() + count;
    byte[] target = needed > bytes.length ? new byte[Math.max(needed, bytes.length * 2)] : bytes;
    System.arraycopy(bytes, start, target, 0, size());
    end = size();
    start = 0;
    bytes = target;
  }

  /** Returns a copy of what waits. */
  public byte[] toBytes() {
    return Arrays.copyOfRange(bytes, start, end);
  }
}
