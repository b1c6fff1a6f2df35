package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a client: one session, one request at a time. */
final class Client implements AutoCloseable {
  private static final AtomicLong LAST_ID = new AtomicLong(0x5c0e7a2100000000L);

  /** The answer to a request: its rows, its outcome, and the state after it. */
  record Answer(String id, List<String> rows, String outcome, String state) {
    boolean ok() {
      return outcome.startsWith("COMPLETE");
    }

    String code() {
      return outcome.startsWith("ERROR ") ? outcome.split(" ")[1] : outcome;
    }
  }

  final String name;
  private final Record record;
  private final Socket socket;
  private final LineReader in;

  /** Opens a session, in 2 s at most. */
  Client(String name, Record record, String address, String database, String key)
      throws IOException {
    this.name = name;
    this.record = record;
    int colon = address.lastIndexOf(':');
    socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(2_000);
    in = new LineReader(socket.getInputStream());
    write("STARTUP " + database + " " + key);
    String line = in.readLine();
    if (line == null || !line.startsWith("READY")) {
      socket.close();
      throw new IOException("session refused: " + line);
    }
    socket.setSoTimeout(15_000);
  }

  private void write(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  Answer run(String text) {
    String id = Long.toHexString(LAST_ID.incrementAndGet());
    List<String> rows = new ArrayList<>();
    String outcome = "none";
    String state = "closed";
    record.add("client    %s sends id=%s %s", name, id, text);
    try {
      write("QUERY " + id + " " + text);
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("DATAROW ")) {
          rows.add(line.substring(8));
        } else if (line.startsWith("READY ")) {
          state = line.split(" ")[1];
          break;
        } else {
          outcome = line;
        }
      }
    } catch (IOException e) {
      outcome = "none (" + e.getMessage() + ")";
    }
    record.add("client    %s gets  id=%s %s %s state=%s", name, id, rows, outcome, state);
    return new Answer(id, rows, outcome, state);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
