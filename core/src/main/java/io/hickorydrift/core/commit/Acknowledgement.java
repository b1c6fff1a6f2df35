package io.hickorydrift.core.commit;

/** Who has to have a commit before its caller is told. */
public enum Acknowledgement {
  /** The primary alone. */
  PRIMARY(new PrimaryAcknowledgement()),
  /** The primary and one replica. */
  REPLICA(new ReplicaAcknowledgement());

  private final AcknowledgementPolicy rule;

  Acknowledgement(AcknowledgementPolicy rule) {
    this.rule = rule;
  }

  /** Returns the rule. */
  public AcknowledgementPolicy policy() {
    return rule;
  }
}
