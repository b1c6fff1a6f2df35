package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time in milliseconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void add(String format, Object... arguments) {
    long ms = (System.nanoTime() - startNanos) / 1_000_000;
    out.println(String.format("%7d  ", ms) + String.format(format, arguments));
    out.flush();
  }
}
