package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines that end with CR LF, and with nothing else, as the page "The wire" says. */
final class LineReader {
  private final InputStream in;

  LineReader(InputStream in) {
    this.in = new BufferedInputStream(in, 8_192);
  }

  /** Returns the next line without its end, or null at the end of the stream. */
  String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int before = -1;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (before == '\r' && next == '\n') {
        byte[] bytes = line.toByteArray();
        return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
      }
      line.write(next);
      before = next;
    }
    return null;
  }
}
