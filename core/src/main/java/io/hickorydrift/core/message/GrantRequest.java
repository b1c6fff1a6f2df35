package io.hickorydrift.core.message;

import java.util.List;

/**
 * Asks a peer for tokens of an organisation's rate.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId echoed in the answer
 * @param organisation organisation whose tokens are asked for
 * @param tokens tokens asked for
 * @param usedGrants earlier grants of this peer that are used up
 */
public record GrantRequest(long correlationId, String organisation, double tokens,
    List<Long> usedGrants) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builds a {@code GrantRequest}. Not thread safe.
   */
  public static final class Builder {
    private long correlationId;

    private String organisation;

    private double tokens;

    private List<Long> usedGrants;

    /**
     * Sets the echoed in the answer.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets the organisation whose tokens are asked for.
     */
    public Builder organisation(String organisation) {
      this.organisation = organisation;
      return this;
    }

    /**
     * Sets the tokens asked for.
     */
    public Builder tokens(double tokens) {
      this.tokens = tokens;
      return this;
    }

    /**
     * Sets the earlier grants of this peer that are used up.
     */
    public Builder usedGrants(List<Long> usedGrants) {
      this.usedGrants = usedGrants;
      return this;
    }

    /**
     * Returns the record.
     */
    public GrantRequest build() {
      return new GrantRequest(correlationId, organisation, tokens, usedGrants);
    }
  }
}
