package io.hickorydrift.standin.target;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.standin.http.JsonServer;
import io.hickorydrift.standin.http.JsonServer.Call;
import io.hickorydrift.standin.http.JsonServer.Reply;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Connection;

/**
 * A small target: {@code POST /exchange} from instances, {@code POST /append} from the primary of
 * its group, {@code PUT /peers} names the group's other targets, {@code GET /received} returns what
 * instances sent, for tests.
 *
 * <p>Invariant: at most one exchange at a time on a connection takes part in its transaction.
 * Thread safety: safe.
 */
public final class TargetStandin implements AutoCloseable {
  private static final int MAX_RECORDED = 2_000;

  private final TargetOptions options;
  private final ReplicatedLog log = new ReplicatedLog();
  private final StateMachine state;
  private final Exchanges exchanges;
  private final JsonServer server;
  private final List<LogShipper> shippers = new ArrayList<>();
  private final Map<Connection, String> connections = new ConcurrentHashMap<>();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final AtomicInteger refusedConnections = new AtomicInteger();
  private volatile int mostConnections;
  private final AtomicLong exchangeCount = new AtomicLong();
  private final Object freezer = new Object();
  private boolean frozen;
  private boolean closed;

  /** Prepares a target. */
  public TargetStandin(TargetOptions options) {
    this.options = options;
    try {
      state = new StateMachine(options.id(), log, options.applyLagMs());
    } catch (SQLException e) {
      throw new IllegalStateException("cannot open the database", e);
    }
    exchanges = new Exchanges(options, log, state);
    server = new JsonServer(options.host(), options.port(), this::respond);
    server.listenToConnections(
        new Connection.Listener() {
          @Override
          public void onClosed(Connection connection) {
            connections.remove(connection);
            exchanges.connectionClosed(connection);
          }
        });
  }

  /** Starts to listen. */
  public TargetStandin start() {
    server.start();
    return this;
  }

  /** Returns host and port. */
  public String address() {
    return server.address();
  }

  /** Returns the target's id. */
  public String id() {
    return options.id();
  }

  /** Names the group's other targets: addresses by id. */
  public synchronized void setPeers(Map<String, String> addresses) {
    shippers.forEach(LogShipper::close);
    shippers.clear();
    addresses.forEach(
        (id, address) -> {
          if (!id.equals(options.id())) {
            shippers.add(
                new LogShipper(
                    options.id(), address, log, options.replicationDelayMs(), this::awaitThaw));
          }
        });
  }

  /** Freezes or wakes the target: while frozen it answers nobody and sends nothing. */
  public void setFrozen(boolean frozen) {
    synchronized (freezer) {
      this.frozen = frozen;
      freezer.notifyAll();
    }
  }

  /** Waits while the target is frozen. */
  private void awaitThaw() throws InterruptedException {
    synchronized (freezer) {
      while (frozen) {
        freezer.wait();
      }
    }
  }

  /** Returns how many exchanges instances have asked for. */
  public long exchanges() {
    return exchangeCount.get();
  }

  /** Returns the last position in the log. */
  public Position lastEntry() {
    return log.last();
  }

  /** Returns the request ids in the log, in order, with the organisation in front. */
  public List<String> requestIds() {
    List<String> ids = new ArrayList<>();
    for (LogEntry entry : log.from(1, Integer.MAX_VALUE)) {
      if (entry.requestId() != null) {
        ids.add(entry.organisation() + "/" + entry.requestId());
      }
    }
    return ids;
  }

  /** Returns what instances sent, headers included, up to a bound. */
  public List<String> received() {
    return List.copyOf(received);
  }

  /** Returns how many exchanges were refused since too many connections were open. */
  public int refusedConnections() {
    return refusedConnections.get();
  }

  /** Returns the most connections that were open at once. */
  public int mostConnections() {
    return mostConnections;
  }

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    shippers.forEach(LogShipper::close);
    server.close();
    try {
      state.close();
    } catch (SQLException e) {
      throw new IllegalStateException("cannot close the database", e);
    }
  }

  private Reply respond(Call call) throws InterruptedException, SQLException {
    awaitThaw();
    switch (call.path()) {
      case "/exchange":
        return exchange(call);
      case "/append":
        return new Reply(200, append(call.read(AppendRequest.class)));
      case "/peers":
        setPeers(call.read(TargetOptions.Peers.class).addresses());
        return new Reply(200, null);
      case "/received":
        return new Reply(200, received);
      case "/log":
        return new Reply(200, requestIds());
      default:
        return new Reply(404, null);
    }
  }

  private Reply exchange(Call call) throws InterruptedException {
    exchangeCount.incrementAndGet();
    if (received.size() < MAX_RECORDED) {
      received.add(call.request().getHeaders().asString() + call.body());
    }
    Connection connection = call.request().getConnectionMetaData().getConnection();
    if (!admit(connection)) {
      TargetAnswer answer =
          TargetAnswer.builder()
              .exchangeId(call.read(TargetRequest.class).exchangeId())
              .status(TargetStatus.TOO_MANY_CONNECTIONS)
              .build();
      return new Reply(200, answer);
    }
    return new Reply(200, exchanges.run(connection, call.read(TargetRequest.class)));
  }

  private boolean admit(Connection connection) throws InterruptedException {
    if (connections.containsKey(connection)) {
      return true;
    }
    synchronized (connections) {
      if (connections.size() >= options.maxConnections()) {
        refusedConnections.incrementAndGet();
        return false;
      }
      connections.put(connection, options.id());
      mostConnections = Math.max(mostConnections, connections.size());
    }
    if (options.connectMs() > 0) {
      Thread.sleep(options.connectMs());
    }
    return true;
  }

  private AppendAnswer append(AppendRequest request) throws SQLException {
    synchronized (state.commitLock) {
      if (request.term() < log.term()) {
        return new AppendAnswer(false, log.term(), log.last().index());
      }
      long cutFrom = log.receive(request);
      if (cutFrom > 0) {
        state.cutFrom(cutFrom);
      }
      return new AppendAnswer(cutFrom >= 0, log.term(), log.last().index());
    }
  }
}
