package io.hickorydrift.core.message;

import java.util.List;

/**
 * Requests tokens of an organisation's rate limit from a peer.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param correlationId echoed in the answer
 * @param organisation organisation whose tokens are requested
 * @param tokens tokens requested
 * @param usedGrants earlier grants from this peer that are used up
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
   * Builder of {@code GrantRequest}. Not thread safe.
   */
  public static final class Builder {
    private long correlationId;

    private String organisation;

    private double tokens;

    private List<Long> usedGrants;

    /**
     * Sets {@code correlationId}: echoed in the answer.
     */
    public Builder correlationId(long correlationId) {
      this.correlationId = correlationId;
      return this;
    }

    /**
     * Sets {@code organisation}: organisation whose tokens are requested.
     */
    public Builder organisation(String organisation) {
      this.organisation = organisation;
      return this;
    }

    /**
     * Sets {@code tokens}: tokens requested.
     */
    public Builder tokens(double tokens) {
      this.tokens = tokens;
      return this;
    }

    /**
     * Sets {@code usedGrants}: earlier grants from this peer that are used up.
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
