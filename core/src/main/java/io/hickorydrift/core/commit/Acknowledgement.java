package io.hickorydrift.core.commit;

/** Targets that must have received a commit before it is acknowledged to the caller. */
public enum Acknowledgement {
  /** The primary only. */
  PRIMARY(new PrimaryAcknowledgement()),
  /** The primary and one replica. */
  REPLICA(new ReplicaAcknowledgement());

  private final AcknowledgementPolicy policy;

  Acknowledgement(AcknowledgementPolicy policy) {
    this.policy = policy;
  }

  /** Returns the policy that checks this requirement. */
  public AcknowledgementPolicy policy() {
    return policy;
  }
}
