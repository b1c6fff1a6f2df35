package io.hickorydrift.core.message;

/**
 * Message types on a peer link with their number on the wire.
 */
public enum PeerType {
  HEARTBEAT(1, Heartbeat.class),

  FORWARD_REQUEST(2, ForwardRequest.class),

  FORWARD_ANSWER(3, ForwardAnswer.class),

  GRANT_REQUEST(4, GrantRequest.class),

  GRANT_ANSWER(5, GrantAnswer.class),

  SUSPICION(6, Suspicion.class),

  PRIMARY_NOTICE(7, PrimaryNotice.class),

  CONFIG_REQUEST(8, ConfigRequest.class),

  CONFIG_ENTRIES(9, ConfigEntries.class),

  CONFIG_SNAPSHOT(10, ConfigSnapshot.class),

  ALIVE(11, Alive.class),

  DOMAIN_DIGEST(12, DomainDigest.class),

  DOMAINS_ALIVE(13, DomainsAlive.class),

  LEAVING_TARGETS(14, LeavingTargets.class);

  private final int number;

  private final Class<? extends Record> type;

  PeerType(int number, Class<? extends Record> type) {
    this.number = number;
    this.type = type;
  }

  /**
   * Returns the number on the wire.
   */
  public int number() {
    return number;
  }

  /**
   * Returns the record class of the message.
   */
  public Class<? extends Record> type() {
    return type;
  }
}
