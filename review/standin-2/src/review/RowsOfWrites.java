package review;

import io.hickorydrift.platform.standin.StandinCaller;
import io.hickorydrift.platform.standin.StandinGroup;
import io.hickorydrift.platform.standin.StandinOptions;
import io.hickorydrift.proxy.net.ChannelHandler;
import io.hickorydrift.proxy.net.TcpChannel;
import io.hickorydrift.proxy.net.TcpListener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Backends answer a write with the value that it replaces, in one row, and with no row if the item
 * is new.
 */
public final class RowsOfWrites {
  private RowsOfWrites() {}

  public static void main(String[] arguments) {
    Rig.run(List.of("ikeja", "lekki"), rig -> run(rig));
  }

  private static int run(Rig rig) throws Exception {
    StandinGroup group =
        rig.platform.addGroup("huvo11a", new StandinOptions(3, 24, 22, 12, 6, 60, 1_000));
    Map<String, String> values = new HashMap<>();
    Map<String, String> rowSent = new HashMap<>();
    for (int i = 1; i <= 3; i++) {
      String address = rig.freeAddress();
      String announced = rig.freeAddress();
      new Server(rig, announced, address, values, rowSent);
      group.add("i-" + i, address, announced);
    }
    rig.platform.declareRoute("fiti832", "huvo11a", "read_your_writes", 2_500);
    rig.platform.declareOrganisation("nypu920", "u6wsjnbanfqa", 84, 84);
    rig.platform.publish();
    Rig.Node node = rig.add("edge-ikeja-1", "ikeja");
    rig.add("edge-lekki-1", "lekki");
    if (!rig.startAll()) {
      return rig.couldNotRun("instances are not ready");
    }
    rig.runFor(4_500);
    StandinCaller caller = new StandinCaller(rig.loop, node.callers);
    rig.call(caller, "STARTUP fiti832 u6wsjnbanfqa", 2_000);
    int wrong = 0;
    int succeeded = 0;
    for (int i = 0; i < 12; i++) {
      for (String value : List.of("open", "paid")) {
        String id = rig.nextId();
        List<String> lines = rig.call(caller, "QUERY " + id + " WRITE a" + i + " " + value, 1_000);
        boolean ok = lines.stream().anyMatch(line -> line.startsWith("COMPLETE"));
        List<String> rows = new ArrayList<>(lines);
        rows.removeIf(line -> !line.startsWith("DATAROW"));
        List<String> sent = rowSent.containsKey(id) ? List.of(rowSent.get(id)) : List.of();
        succeeded += ok ? 1 : 0;
        if (ok && !rows.equals(sent)) {
          wrong++;
          rig.record("OTHER ROWS for " + id + ": the backend sent " + sent);
        }
        if (caller.isClosed()) {
          return rig.couldNotRun("session closed");
        }
      }
    }
    if (succeeded == 0) {
      return rig.couldNotRun("no write succeeded");
    }
    return rig.verdict(
        wrong > 0, wrong + " of " + succeeded + " successful writes were answered with other rows");
  }

  /** Adds the rows to the answers of a stand-in target. */
  private static final class Server {
    private final Rig rig;
    private final String address;
    private final Map<String, String> values;
    private final Map<String, String> rowSent;

    Server(
        Rig rig,
        String listen,
        String address,
        Map<String, String> values,
        Map<String, String> rowSent)
        throws IOException {
      this.rig = rig;
      this.address = address;
      this.values = values;
      this.rowSent = rowSent;
      new TcpListener(rig.loop, listen, this::accept);
    }

    private ChannelHandler accept(TcpChannel channel) {
      ArrayDeque<String> pending = new ArrayDeque<>();
      Lines near = new Lines();
      Lines far = new Lines();
      near.channel = channel;
      far.channel = TcpChannel.connect(rig.loop, address, far);
      near.other = far;
      far.other = near;
      near.onLine =
          line -> {
            pending.addLast(line);
            far.send(line);
          };
      far.onLine =
          line -> {
            String[] words = pending.peekFirst().split(" ", 5);
            boolean write = words.length == 5 && words[2].equals("WRITE");
            if (rig.trouble && write && line.startsWith("COMPLETE ")) {
              String before = values.put(words[3], words[4]);
              if (before != null) {
                rowSent.put(words[1], "DATAROW " + before);
                near.send("DATAROW " + before);
              }
            }
            near.send(line);
            if (line.startsWith("READY ")) {
              pending.pollFirst();
            }
          };
      return near;
    }
  }

  /** One side of a connection, line by line. */
  private static final class Lines implements ChannelHandler {
    private final StringBuilder text = new StringBuilder();
    private TcpChannel channel;
    private Lines other;
    private Consumer<String> onLine;

    void send(String line) {
      if (!channel.isClosed()) {
        channel.out().octets((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      }
    }

    @Override
    public void received(ByteBuffer in) {
      byte[] bytes = new byte[in.remaining()];
      in.get(bytes);
      text.append(new String(bytes, StandardCharsets.ISO_8859_1));
      for (int end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n")) {
        String line = text.substring(0, end);
        text.delete(0, end + 2);
        onLine.accept(line);
      }
    }

    @Override
    public void closed(String reason) {
      if (!other.channel.isClosed()) {
        other.channel.closeAfterFlush();
      }
    }
  }
}
