package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Stand-in for one backend. It runs each connection on a thread of its own. */
final class Backend {
  final Group group;
  final String id;
  final String zone;
  final long bornMs = System.currentTimeMillis();
  private final ServerSocket server;
  private final Set<Session> sessions = new HashSet<>();
  // Guarded by the group.
  int received;
  int applied;
  long seq;
  boolean deaf;
  volatile int slowness = 1;
  volatile boolean crashed;
  private final Semaphore slots;
  private int sessionCount;

  volatile boolean draining;

  Backend(Group group, String id, String ip, int port, String zone) throws IOException {
    this.group = group;
    this.id = id;
    this.zone = zone;
    slots = new Semaphore(group.options.slots(), true);
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
    Thread thread = new Thread(this::accept, id);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void accept() {
    while (!crashed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        new Session(socket).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Receives the log up to {@code size} and applies it after the lag. Called by the group. */
  void receive(int size) {
    if (deaf || crashed) {
      return;
    }
    received = Math.max(received, size);
    if (this == group.primary) {
      applied = received;
      return;
    }
    group.timer.schedule(
        () -> {
          synchronized (group) {
            applied = Math.max(applied, Math.min(size, received));
          }
        },
        group.options.lagMs(),
        TimeUnit.MILLISECONDS);
  }

  void crash() {
    group.record.add(draining ? "backend   %s ends" : "fault     %s crashes", id);
    crashed = true;
    List<Session> open;
    synchronized (group) {
      open = List.copyOf(sessions);
    }
    try {
      server.close();
    } catch (IOException e) {
      // Closed already.
    }
    open.forEach(Session::close);
  }

  /** Runs in a slot for {@code ms}, first come first served; returns false if the queue is full. */
  private boolean inSlot(long ms) throws InterruptedException {
    if (slots.availablePermits() == 0 && slots.getQueueLength() >= group.options.queue()) {
      return false;
    }
    slots.acquire();
    try {
      Thread.sleep(ms * slowness);
    } finally {
      slots.release();
    }
    return true;
  }

  private final class Session extends Thread {
    private final Socket socket;
    private String name = "";
    private String tenant = "";
    private OutputStream out;
    private char state = 'I';
    private boolean readOnly;
    private long beganTerm;
    private final Map<String, String> prepared = new HashMap<>();
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> writes = new LinkedHashMap<>();
    private final List<String> ids = new ArrayList<>();

    private Session(Socket socket) {
      this.socket = socket;
      setDaemon(true);
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed already.
      }
    }

    @Override
    public void run() {
      boolean admitted;
      synchronized (group) {
        admitted = sessions.size() < group.options.maxConns();
        sessions.add(this);
        name = id + "#" + ++sessionCount;
      }
      try (socket) {
        out = socket.getOutputStream();
        LineReader in = new LineReader(socket.getInputStream());
        serve(in, admitted);
      } catch (IOException | InterruptedException e) {
        // The connection ends.
      } finally {
        synchronized (group) {
          sessions.remove(this);
        }
        if (state != 'I' && !writes.isEmpty() && !crashed) {
          group.record.add("backend   %s closed, rolls back ids=%s", name, ids);
        }
      }
    }

    private void serve(LineReader in, boolean admitted)
        throws IOException, InterruptedException {
      String line = in.readLine();
      String[] words = line == null ? new String[0] : line.split(" ");
      boolean ours =
          words.length >= 3
              && words[0].equals("STARTUP")
              && words[1].equals(group.name)
              && (words.length < 4 || words[3].equals(id));
      if (!ours || !admitted) {
        send("ERROR " + (ours ? "CONNLIMIT " : "MISROUTED ") + id);
        return;
      }
      tenant = words[2];
      inSlot(group.options.connectMs());
      ready();
      for (line = in.readLine(); line != null; line = in.readLine()) {
        String[] parts = line.split(" ", 3);
        if (!parts[0].equals("QUERY") || parts.length < 3) {
          return;
        }
        query(parts[1], parts[2]);
      }
    }

    private void query(String queryId, String text) throws IOException, InterruptedException {
      String rest = text;
      if (rest.startsWith("AFTERLSN ")) {
        String[] parts = rest.split(" ", 3);
        rest = parts[2];
        synchronized (group) {
          if (!group.holds(applied(), parts[1])) {
            fail(queryId, text, "LAGGING");
            return;
          }
        }
      }
      String[] words = rest.split(" ", 3);
      String word = words[0];
      if (state == 'E' && !word.equals("ROLLBACK") && !word.equals("COMMIT")) {
        fail(queryId, text, "MALFORMED");
        return;
      }
      switch (word) {
        case "BEGIN":
          begin(queryId, text, words.length > 1);
          break;
        case "COMMIT":
          commit(queryId, text);
          break;
        case "ROLLBACK":
          end();
          done("-");
          break;
        case "READ":
          read(queryId, text, words[1]);
          break;
        case "WRITE":
          write(queryId, text, words[1], words[2]);
          break;
        case "EXECUTE":
          execute(queryId, text, words);
          break;
        case "PREPARE":
          prepared.put(words[1], words[2]);
          done("-");
          break;
        case "CLOSE":
          prepared.remove(words[1]);
          done("-");
          break;
        case "SET":
          values.put(words[1], words[2]);
          done("-");
          break;
        case "RESET":
          prepared.clear();
          values.clear();
          done("-");
          break;
        case "STATUS":
          status(queryId, text);
          break;
        default:
          fail(queryId, text, "MALFORMED");
      }
    }

    private int applied() {
      return Backend.this == group.primary ? group.log.size() : applied;
    }

    private boolean lostLead() {
      return state == 'T'
          && !readOnly
          && (group.primary != Backend.this || group.term != beganTerm);
    }

    private void begin(String queryId, String text, boolean wantsRead) throws IOException {
      synchronized (group) {
        if (!wantsRead && group.primary != Backend.this) {
          fail(queryId, text, "READONLY");
          return;
        }
        readOnly = wantsRead;
        beganTerm = group.term;
        state = 'T';
      }
      done("-");
    }

    private void commit(String queryId, String text) throws IOException, InterruptedException {
      if (!inSlot(group.options.workMs())) {
        fail(queryId, text, "BUSY");
        return;
      }
      int position = 0;
      synchronized (group) {
        if (crashed) {
          throw new IOException("crashed");
        }
        if (state == 'E' || lostLead() && !writes.isEmpty()) {
          log(queryId, text, "READONLY");
          end();
          send("ERROR READONLY " + id);
          ready();
          return;
        }
        if (!writes.isEmpty()) {
          ids.add(queryId);
          position = group.commit(name, ids, writes);
        }
        log(queryId, text, "commits " + writes);
        end();
      }
      awaitReplicas(position);
      done("7." + id + "." + queryId);
    }

    private void read(String queryId, String text, String item)
        throws IOException, InterruptedException {
      if (!inSlot(group.options.workMs())) {
        fail(queryId, text, "BUSY");
        return;
      }
      String row = writes.get(item);
      synchronized (group) {
        if (lostLead()) {
          fail(queryId, text, "READONLY");
          return;
        }
        for (int i = applied() - 1; i >= 0 && row == null; i--) {
          row = group.log.get(i).writes().get(item);
        }
        log(queryId, text, "row " + row);
      }
      send("DATAROW " + (row == null ? "none" : row));
      done("7." + id + "." + queryId);
    }

    private void write(String queryId, String text, String item, String data)
        throws IOException, InterruptedException {
      if (!inSlot(group.options.workMs())) {
        fail(queryId, text, "BUSY");
        return;
      }
      int position = 0;
      synchronized (group) {
        if (crashed) {
          throw new IOException("crashed");
        }
        if (group.primary != Backend.this || lostLead()) {
          fail(queryId, text, "READONLY");
          return;
        }
        if (state == 'T') {
          writes.put(item, data);
          ids.add(queryId);
        } else {
          position = group.commit(name, List.of(queryId), Map.of(item, data));
        }
        log(queryId, text, state == 'T' ? "in transaction" : "committed");
      }
      awaitReplicas(position);
      done("7." + id + "." + queryId);
    }

    private void awaitReplicas(int position) throws IOException, InterruptedException {
      synchronized (group) {
        while (position > 0 && !group.isSynchronous(position)) {
          if (crashed) {
            throw new IOException("crashed");
          }
          group.wait(5);
        }
      }
    }

    private void execute(String queryId, String text, String[] words)
        throws IOException, InterruptedException {
      String shape = prepared.get(words[1]);
      if (shape == null) {
        fail(queryId, text, "NOSUCHSTMT");
        return;
      }
      String[] arguments = words[2].split(" ", 2);
      if (shape.startsWith("WRITE")) {
        write(queryId, text, arguments[0], arguments[1]);
      } else {
        read(queryId, text, arguments[0]);
      }
    }

    private void status(String queryId, String text) throws IOException, InterruptedException {
      if (!inSlot(1)) {
        fail(queryId, text, "BUSY");
        return;
      }
      synchronized (group) {
        boolean leads = group.primary == Backend.this;
        int held = leads ? group.log.size() : received;
        send(
            "DATAROW "
                + (leads ? "primary " : "replica ")
                + group.term
                + " "
                + group.position(held)
                + " 0 0 "
                + (group.options.slots() - slots.availablePermits())
                + " "
                + sessions.size());
      }
      done("-");
    }

    private void end() {
      state = 'I';
      writes.clear();
      ids.clear();
    }

    private void log(String queryId, String text, String what) {
      if (queryId.equals("-")) {
        return;
      }
      synchronized (group) {
        group.valuesByStatement.put(queryId, Map.copyOf(values));
      }
      String with = values.isEmpty() ? "" : " values=" + values;
      group.record.add("backend   %s %s id=%s %s: %s%s", name, tenant, queryId, text, what, with);
    }

    private void fail(String queryId, String text, String code) throws IOException {
      log(queryId, text, code);
      if (state == 'T') {
        state = 'E';
        writes.clear();
      }
      send("ERROR " + code + " " + id);
      ready();
    }

    private void done(String signature) throws IOException {
      send("COMPLETE " + signature);
      ready();
    }

    private void ready() throws IOException {
      synchronized (group) {
        send("READY " + state + " " + group.position(applied()));
      }
    }

    private void send(String line) throws IOException {
      if (crashed) {
        throw new IOException("crashed");
      }
      out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
