package io.hickorydrift.core.message;

/**
 * Tokens granted to a peer and already deducted at the sender. They expire a fixed time after the request was sent.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId id of the request
 * @param organisation organisation
 * @param grantId id of the grant at the sender
 * @param tokens tokens granted, 0 for none
 */
public record GrantAnswer(long correlationId, String organisation, long grantId, double tokens) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code GrantAnswer}. Not thread safe.
   */
  public static final class Builder {
    private long correlationId;

    private String organisation;

    private long grantId;

    private double tokens;

    /**
     * Sets {@code correlationId}: id of the request.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets {@code organisation}: organisation.
     */
    public Builder organisation(String organisation) {
      this.organisation = organisation;
      return this;
    }

    /**
     * Sets {@code grantId}: id of the grant at the sender.
     */
    public Builder grantId(long grantId) {
      this.grantId = grantId;
      return this;
    }

    /**
     * Sets {@code tokens}: tokens granted, 0 for none.
     */
    public Builder tokens(double tokens) {
      this.tokens = tokens;
      return this;
    }

    /**
     * Returns the record.
     */
    public GrantAnswer build() {
      return new GrantAnswer(correlationId, organisation, grantId, tokens);
    }
  }
}
