package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
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
record AdmissionDecision(Route route, String organisation, FailureCode refusal, String reason) {
  private static final String NOBODY = "-";

  /** Decides by the declaration in force, and by whether it is proven to be current. */
  static AdmissionDecision decide(Declarations declarations, String database, String credential) {
    Declaration declaration = declarations.current();
    Route route = declaration.routes().get(database);
    if (route == null) {
      return refusedFor(FailureCode.UNKNOWN_DATABASE, "no such database");
    }
    String organisation = declaration.keyOwners().get(credential);
    if (organisation == null && !route.allowsAnonymous()) {
      return refusedFor(FailureCode.UNAUTHORIZED, "key is withdrawn");
    }
    if (!route.allowsAnonymous() && !declarations.keysConfirmedCurrent()) {
      return refusedFor(
          FailureCode.BUSY, "settings cannot be shown to be current; come back in 1000 ms");
    }
    return admitted(route, organisation == null ? NOBODY : organisation);
  }

  private static AdmissionDecision admitted(Route route, String organisation) {
    return new AdmissionDecision(route, organisation, null, "");
  }

  private static AdmissionDecision refusedFor(FailureCode code, String reason) {
    return new AdmissionDecision(null, NOBODY, code, reason);
  }

  /** Returns a refusal of what was admitted before. */
  AdmissionDecision withRefusal(FailureCode code, String text) {
    return new AdmissionDecision(route, organisation, code, text);
  }
}
