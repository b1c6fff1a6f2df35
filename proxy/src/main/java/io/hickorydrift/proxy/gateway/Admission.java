package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.statement.FailureCode;

/**
 * Whether an operation may run, and for whom.
 *
 * <p>Thread safety: immutable.
 *
 * @param route route in force, or null if refused
 * @param organisation organisation that it runs for, or null if refused
 * @param refusal why not, or null
 * @param reason what to say about a refusal
 */
record Admission(Route route, String organisation, FailureCode refusal, String reason) {
  static Admission admitted(Route route, String organisation) {
    return new Admission(route, organisation, null, "");
  }

  static Admission refusedFor(FailureCode code, String reason) {
    return new Admission(null, "-", code, reason);
  }

  /** Returns a refusal of what was admitted before. */
  Admission refused(FailureCode code, String text) {
    return new Admission(route, organisation, code, text);
  }
}
