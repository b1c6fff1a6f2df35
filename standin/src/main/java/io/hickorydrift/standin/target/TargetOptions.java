package io.hickorydrift.standin.target;

import java.util.Map;

/**
 * How a stand-in target behaves.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of the target
 * @param host address to listen on
 * @param port port to listen on, 0 for any
 * @param replicationDelayMs time until a replica logs an entry, in milliseconds
 * @param applyLagMs time until a replica's reads see a logged entry, in milliseconds
 * @param maxConnections connections for exchanges that are taken
 * @param connectMs time that a new connection takes, in milliseconds
 * @param statementMs time that a statement takes, in milliseconds
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

  /** Starts from the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds options. Not thread safe. */
  public static final class Builder {
    private String id = "target";
    private String host = "127.0.0.1";
    private int port;
    private long replicationDelayMs;
    private long applyLagMs;
    private int maxConnections = 20;
    private long connectMs;
    private long statementMs;

    /** Sets the target's id. */
    public Builder id(String id) {
      this.id = id;
      return this;
    }

    /** Sets the address to listen on. */
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

    /** Sets the further delay until a replica's reads see an entry, in milliseconds. */
    public Builder applyLagMs(long applyLagMs) {
      this.applyLagMs = applyLagMs;
      return this;
    }

    /** Sets how many connections are taken. */
    public Builder maxConnections(int maxConnections) {
      this.maxConnections = maxConnections;
      return this;
    }

    /** Sets the time that a new connection takes, in milliseconds. */
    public Builder connectMs(long connectMs) {
      this.connectMs = connectMs;
      return this;
    }

    /** Sets the time that a statement takes, in milliseconds. */
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

  /** Names the other targets of a group: addresses by id. */
  public record Peers(Map<String, String> addresses) {}
}
