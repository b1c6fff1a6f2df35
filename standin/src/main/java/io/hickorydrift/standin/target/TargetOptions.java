package io.hickorydrift.standin.target;

import java.util.Map;

/**
 * Settings of a stand-in target.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of the target
 * @param host address to listen on
 * @param port port to listen on, 0 for any
 * @param replicationDelayMs delay until a replica logs an entry, in milliseconds
 * @param applyLagMs delay from logging an entry until a replica's reads see it, in milliseconds
 * @param maxConnections maximum number of connections for exchanges
 * @param connectMs added latency of a new connection, in milliseconds
 * @param statementMs added latency of a statement, in milliseconds
 */
public record TargetOptions(
    String id,
    String host,
    int port,
    long replicationDelayMs,
    long applyLagMs,
    int maxConnections,
    long connectMs,
    long statementMs) {

  /** Returns a builder with the default settings. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of target options. Not thread safe. */
  public static final class Builder {
    private String id = "target";
    private String host = "127.0.0.1";
    private int port;
    private long replicationDelayMs;
    private long applyLagMs;
    private int maxConnections = 20;
    private long connectMs;
    private long statementMs;

    /** Sets the id of the target. */
    public Builder id(String id) {
      this.id = id;
      return this;
    }

    /** Sets the address and port to listen on; port 0 selects any free port. */
    public Builder listen(String host, int port) {
      this.host = host;
      this.port = port;
      return this;
    }

    /** Sets the delay until a replica logs an entry, in milliseconds. */
    public Builder replicationDelayMs(long replicationDelayMs) {
      this.replicationDelayMs = replicationDelayMs;
      return this;
    }

    /** Sets the delay from logging an entry until a replica's reads see it, in milliseconds. */
    public Builder applyLagMs(long applyLagMs) {
      this.applyLagMs = applyLagMs;
      return this;
    }

    /** Sets the maximum number of connections for exchanges. */
    public Builder maxConnections(int maxConnections) {
      this.maxConnections = maxConnections;
      return this;
    }

    /** Sets the added latency of a new connection, in milliseconds. */
    public Builder connectMs(long connectMs) {
      this.connectMs = connectMs;
      return this;
    }

    /** Sets the added latency of a statement, in milliseconds. */
    public Builder statementMs(long statementMs) {
      this.statementMs = statementMs;
      return this;
    }

    /** Returns the options. */
    public TargetOptions build() {
      return new TargetOptions(
          id, host, port, replicationDelayMs, applyLagMs, maxConnections, connectMs, statementMs);
    }
  }

  /** Other targets of a group, as addresses by id. */
  public record Peers(Map<String, String> addresses) {}
}
