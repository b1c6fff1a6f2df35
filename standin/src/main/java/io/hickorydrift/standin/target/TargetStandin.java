package io.hickorydrift.standin.target;

import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.message.TargetAnswer;
import io.hickorydrift.core.message.TargetRequest;
import io.hickorydrift.core.message.TargetStatus;
import io.hickorydrift.standin.http.JsonServer;
import io.hickorydrift.standin.http.JsonServer.JsonRequest;
import io.hickorydrift.standin.http.JsonServer.JsonResponse;
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
  private static final int MAX_RECORDED_REQUESTS = 2_000;

  private final TargetOptions options;
  private final ReplicatedLog log = new ReplicatedLog();
  private final StateMachine state;
  private final ExchangeHandler exchangeHandler;
  private final JsonServer server;
  private final List<LogShipper> shippers = new ArrayList<>();
  private final Map<Connection, String> connections = new ConcurrentHashMap<>();
  private final List<String> receivedRequests = new CopyOnWriteArrayList<>();
  private final AtomicInteger refusedExchanges = new AtomicInteger();
  private volatile int peakConnections;
  private final AtomicLong exchangeCount = new AtomicLong();
  private final Object pauseLock = new Object();
  private boolean paused;
  private boolean closed;

  /** Prepares a target. */
  public TargetStandin(TargetOptions options) {
    this.options = options;
    try {
      state = new StateMachine(options.id(), log, options.applyLagMs());
    } catch (SQLException e) {
      throw new IllegalStateException("cannot open the database", e);
    }
    exchangeHandler = new ExchangeHandler(options, log, state);
    server = new JsonServer(options.host(), options.port(), this::handle);
    server.addConnectionListener(
        new Connection.Listener() {
          @Override
          public void onClosed(Connection connection) {
            connections.remove(connection);
            exchangeHandler.rollbackOpenTransaction(connection);
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
                    options.id(), address, log, options.replicationDelayMs(), this::awaitResumed));
          }
        });
  }

  /** Freezes or wakes the target: while frozen it answers nobody and sends nothing. */
  public void setPaused(boolean frozen) {
    synchronized (pauseLock) {
      this.paused = frozen;
      pauseLock.notifyAll();
    }
  }

  /** Waits while the target is frozen. */
  private void awaitResumed() throws InterruptedException {
    synchronized (pauseLock) {
      while (paused) {
        pauseLock.wait();
      }
    }
  }

  /** Returns how many exchanges instances have asked for. */
  public long exchangeCount() {
    return exchangeCount.get();
  }

  /** Returns the last position in the log. */
  public Position lastPosition() {
    return log.lastPosition();
  }

  /** Returns the request ids in the log, in order, with the organisation in front. */
  public List<String> loggedRequestIds() {
    List<String> ids = new ArrayList<>();
    for (LogEntry entry : log.entriesFrom(1, Integer.MAX_VALUE)) {
      if (entry.requestId() != null) {
        ids.add(entry.organisation() + "/" + entry.requestId());
      }
    }
    return ids;
  }

  /** Returns what instances sent, headers included, up to a bound. */
  public List<String> receivedRequests() {
    return List.copyOf(receivedRequests);
  }

  /** Returns how many exchanges were refused since too many connections were open. */
  public int refusedExchanges() {
    return refusedExchanges.get();
  }

  /** Returns the most connections that were open at once. */
  public int peakConnections() {
    return peakConnections;
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

  private JsonResponse handle(JsonRequest call) throws InterruptedException, SQLException {
    awaitResumed();
    switch (call.path()) {
      case "/exchange":
        return handleExchange(call);
      case "/append":
        return new JsonResponse(200, handleAppend(call.readBody(AppendRequest.class)));
      case "/peers":
        setPeers(call.readBody(TargetOptions.Peers.class).addresses());
        return new JsonResponse(200, null);
      case "/received":
        return new JsonResponse(200, receivedRequests);
      case "/log":
        return new JsonResponse(200, loggedRequestIds());
      default:
        return new JsonResponse(404, null);
    }
  }

  private JsonResponse handleExchange(JsonRequest call) throws InterruptedException {
    exchangeCount.incrementAndGet();
    if (receivedRequests.size() < MAX_RECORDED_REQUESTS) {
      receivedRequests.add(call.request().getHeaders().asString() + call.body());
    }
    Connection connection = call.request().getConnectionMetaData().getConnection();
    if (!admitConnection(connection)) {
      TargetAnswer answer =
          TargetAnswer.builder()
              .exchangeId(call.readBody(TargetRequest.class).exchangeId())
              .status(TargetStatus.TOO_MANY_CONNECTIONS)
              .build();
      return new JsonResponse(200, answer);
    }
    return new JsonResponse(
        200, exchangeHandler.handle(connection, call.readBody(TargetRequest.class)));
  }

  private boolean admitConnection(Connection connection) throws InterruptedException {
    if (connections.containsKey(connection)) {
      return true;
    }
    synchronized (connections) {
      if (connections.size() >= options.maxConnections()) {
        refusedExchanges.incrementAndGet();
        return false;
      }
      connections.put(connection, options.id());
      peakConnections = Math.max(peakConnections, connections.size());
    }
    if (options.connectMs() > 0) {
      Thread.sleep(options.connectMs());
    }
    return true;
  }

  private AppendAnswer handleAppend(AppendRequest request) throws SQLException {
    synchronized (state.commitLock) {
      if (request.term() < log.term()) {
        return new AppendAnswer(false, log.term(), log.lastPosition().index());
      }
      long cutFrom = log.appendFromPrimary(request);
      if (cutFrom > 0) {
        state.truncateFrom(cutFrom);
      }
      return new AppendAnswer(cutFrom >= 0, log.term(), log.lastPosition().index());
    }
  }
}
