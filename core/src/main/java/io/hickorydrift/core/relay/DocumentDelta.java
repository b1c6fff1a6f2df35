package io.hickorydrift.core.relay;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The difference between two versions of a document. Both are split into chunks at ends of objects,
 * so that a change moves no chunk boundary far from it; the delta names the chunks that the newer
 * version shares with the older one, and carries the others.
 *
 * <p>Load pattern: a declaration of a hundred kilobytes of which each version changes a few routes,
 * sent to every instance of a failure domain.
 *
 * <p>Invariant: {@link #apply} returns exactly the newer version, or throws if it is given another
 * older one. Thread safety: stateless.
 */
public final class DocumentDelta {
  private static final byte CHUNK_END = '}';
  // Shorter chunks would cost more to name than to carry.
  private static final int MIN_CHUNK_BYTES = 48;
  private static final int MAX_DOCUMENT_BYTES = 4 * 1024 * 1024;

  /** Part of a document; equal to any part of a document with the same bytes. */
  private record Chunk(byte[] document, int from, int to) {
    private int length() {
      return to - from;
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Chunk chunk
          && Arrays.equals(document, from, to, chunk.document, chunk.from, chunk.to);
    }

    @Override
    public int hashCode() {
      int hash = 1;
      for (int i = from; i < to; i++) {
        hash = 31 * hash + document[i];
      }
      return hash;
    }
  }

  /** Bytes of the older version to copy, or of the newer one to carry. */
  private record Step(boolean copy, int from, int length) {}

  private DocumentDelta() {}

  /** Returns the delta that turns {@code older} into {@code newer}. */
  public static byte[] encode(byte[] older, byte[] newer) {
    Map<Chunk, Integer> offsets = new HashMap<>();
    for (Chunk chunk : chunks(older)) {
      offsets.putIfAbsent(chunk, chunk.from);
    }
    List<Step> steps = new ArrayList<>();
    for (Chunk chunk : chunks(newer)) {
      Integer offset = offsets.get(chunk);
      addStep(
          steps, new Step(offset != null, offset == null ? chunk.from : offset, chunk.length()));
    }
    try {
      return write(steps, older, newer);
    } catch (IOException e) {
      throw new IllegalStateException("writing into memory failed", e);
    }
  }

  /** Adds a step, or extends the last one if the step continues it. */
  private static void addStep(List<Step> steps, Step step) {
    Step last = steps.isEmpty() ? null : steps.get(steps.size() - 1);
    if (last != null && last.copy == step.copy && last.from + last.length == step.from) {
      steps.set(steps.size() - 1, new Step(last.copy, last.from, last.length + step.length));
    } else {
      steps.add(step);
    }
  }

  private static byte[] write(List<Step> steps, byte[] older, byte[] newer) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(checksum(older));
    out.writeInt(checksum(newer));
    out.writeInt(newer.length);
    for (Step step : steps) {
      out.writeBoolean(step.copy);
      out.writeInt(step.length);
      if (step.copy) {
        out.writeInt(step.from);
      } else {
        out.write(newer, step.from, step.length);
      }
    }
    return bytes.toByteArray();
  }

  /**
   * Returns the newer version.
   *
   * @throws IllegalArgumentException if {@code delta} is malformed or made for another version than
   *     {@code older}
   */
  public static byte[] apply(byte[] older, byte[] delta) {
    try {
      return read(older, new DataInputStream(new ByteArrayInputStream(delta)));
    } catch (IOException e) {
      throw new IllegalArgumentException("delta ends early", e);
    }
  }

  private static byte[] read(byte[] older, DataInputStream in) throws IOException {
    check(in.readInt() == checksum(older), "delta made for another version");
    final int newerChecksum = in.readInt();
    int length = in.readInt();
    check(length >= 0 && length <= MAX_DOCUMENT_BYTES, "length out of range");
    byte[] newer = new byte[length];
    int filled = 0;
    while (in.available() > 0) {
      boolean copy = in.readBoolean();
      int count = in.readInt();
      check(count >= 0 && count <= length - filled, "step out of range");
      if (copy) {
        int from = in.readInt();
        check(from >= 0 && from <= older.length - count, "copy out of range");
        System.arraycopy(older, from, newer, filled, count);
      } else {
        in.readFully(newer, filled, count);
      }
      filled += count;
    }
    check(filled == length && checksum(newer) == newerChecksum, "delta damaged");
    return newer;
  }

  private static int checksum(byte[] document) {
    CRC32C checksum = new CRC32C();
    checksum.update(document);
    return (int) checksum.getValue();
  }

  private static void check(boolean condition, String reason) {
    if (!condition) {
      throw new IllegalArgumentException(reason);
    }
  }

  private static List<Chunk> chunks(byte[] document) {
    List<Chunk> chunks = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < document.length; i++) {
      boolean end = document[i] == CHUNK_END && i + 1 - start >= MIN_CHUNK_BYTES;
      if (end || i + 1 == document.length) {
        chunks.add(new Chunk(document, start, i + 1));
        start = i + 1;
      }
    }
    return chunks;
  }
}
