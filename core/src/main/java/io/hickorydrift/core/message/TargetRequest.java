package io.hickorydrift.core.message;

import java.util.List;

/**
 * One exchange from an instance to a target.
 *
 * <p>Thread safety: immutable as long as its collections are.
 *
 * @param exchangeId echoed in the answer
 * @param op requested operation
 * @param term current term at the sender; for FENCE and PROMOTE the new term
 * @param organisation organisation that the statement runs for
 * @param requestId id under which a write takes effect at most once; null for reads
 * @param sql the statement; null unless the operation carries one
 * @param params values of the statement's parameters
 * @param position minimum applied position for READ, awaited position for AWAIT
 * @param waitMs maximum time that the target waits for the position, in milliseconds
 */
public record TargetRequest(long exchangeId, TargetOp op, long term, String organisation,
    String requestId, String sql, List<Object> params, Position position, long waitMs) {
  /**
   * Returns an empty builder.
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of {@code TargetRequest}. Not thread safe.
   */
  public static final class Builder {
    private long exchangeId;

    private TargetOp op;

    private long term;

    private String organisation;

    private String requestId;

    private String sql;

    private List<Object> params;

    private Position position;

    private long waitMs;

    /**
     * Sets {@code exchangeId}: echoed in the answer.
     */
    public Builder exchangeId(long exchangeId) {
      this.exchangeId = exchangeId;
      return this;
    }

    /**
     * Sets {@code op}: requested operation.
     */
    public Builder op(TargetOp op) {
      this.op = op;
      return this;
    }

    /**
     * Sets {@code term}: current term at the sender; for FENCE and PROMOTE the new term.
     */
    public Builder term(long term) {
      this.term = term;
      return this;
    }

    /**
     * Sets {@code organisation}: organisation that the statement runs for.
     */
    public Builder organisation(String organisation) {
      this.organisation = organisation;
      return this;
    }

    /**
     * Sets {@code requestId}: id under which a write takes effect at most once; null for reads.
     */
    public Builder requestId(String requestId) {
      this.requestId = requestId;
      return this;
    }

    /**
     * Sets {@code sql}: the statement; null unless the operation carries one.
     */
    public Builder sql(String sql) {
      this.sql = sql;
      return this;
    }

    /**
     * Sets {@code params}: values of the statement's parameters.
     */
    public Builder params(List<Object> params) {
      this.params = params;
      return this;
    }

    /**
     * Sets {@code position}: minimum applied position for READ, awaited position for AWAIT.
     */
    public Builder position(Position position) {
      this.position = position;
      return this;
    }

    /**
     * Sets {@code waitMs}: maximum time that the target waits for the position, in milliseconds.
     */
    public Builder waitMs(long waitMs) {
      this.waitMs = waitMs;
      return this;
    }

    /**
     * Returns the record.
     */
    public TargetRequest build() {
      return new TargetRequest(exchangeId, op, term, organisation, requestId, sql, params, position, waitMs);
    }
  }
}
