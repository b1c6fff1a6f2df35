package io.hickorydrift.core.commit;

/** Who has to have a commit before its caller is told. */
public enum Acknowledgement {
  /** The primary alone. */
  PRIMARY(new PrimaryWord()),
  /** The primary and one replica. */
  REPLICA(new ReplicaReceived());

  private final AcknowledgementRule rule;

  Acknowledgement(AcknowledgementRule rule) {
    this.rule = rule;
  }

  /** Returns the rule. */
  public AcknowledgementRule rule() {
    return rule;
  }
}
