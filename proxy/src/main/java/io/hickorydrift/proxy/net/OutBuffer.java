package io.hickorydrift.proxy.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A growable buffer of bytes to be sent.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class OutBuffer {
  private static final int INITIAL_BYTES = 256;
  private static final int MAX_RETAINED_BYTES = 16 * 1024;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private int start;
  private int end;

  /** Appends {@code text}, decoded as ISO 8859-1 before, with one byte for each character. */
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

  /** Returns the number of bytes in the buffer. */
  public int size() {
    return end - start;
  }

  /** Copies as many bytes as fit into {@code target}; {@link #discard} removes them. */
  void copyTo(ByteBuffer target) {
    target.put(bytes, start, Math.min(size(), target.remaining()));
  }

  /** Removes the first {@code count} bytes. */
  void discard(int count) {
    start += count;
    if (start == end) {
      start = 0;
      end = 0;
      if (bytes.length > MAX_RETAINED_BYTES) {
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

  /** Returns a copy of the buffered bytes. */
  public byte[] toBytes() {
    return Arrays.copyOfRange(bytes, start, end);
  }
}
