package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.declaration.DeclaredOrganisation;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.FailureCode;
import java.util.Set;

/**
 * Decision whether an operation may run, and the organisation that it runs for.
 *
 * <p>Thread safety: immutable.
 *
 * @param route route in force, or null if refused by {@link #decide}
 * @param organisation organisation that it runs for; {@code "-"} for callers without a valid key
 *     and if refused by {@link #decide}
 * @param allowed regions that may run it
 * @param refusal failure code of a refusal, or null if admitted
 * @param reason description of a refusal
 */
record AdmissionDecision(
    Route route, String organisation, AllowedRegions allowed, FailureCode refusal, String reason) {
  /** Stands for the callers without a valid key, which only routes open to all admit. */
  static final String NO_ORGANISATION = "-";

  /**
   * Decides by the declaration in force. A route that requires a key also needs a recent
   * confirmation that this declaration is current.
   */
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
      return refusedFor(FailureCode.BUSY, "settings not confirmed to be current; retry in 1000 ms");
    }
    AllowedRegions allowed = allowedRegions(declaration, route, organisation);
    return new AdmissionDecision(
        route, organisation == null ? NO_ORGANISATION : organisation, allowed, null, "");
  }

  private static AllowedRegions allowedRegions(
      Declaration declaration, Route route, String organisation) {
    DeclaredOrganisation declared =
        organisation == null ? null : declaration.organisations().get(organisation);
    return AllowedRegions.of(
        route.allowedRegions(), declared == null ? Set.of() : declared.allowedRegions());
  }

  private static AdmissionDecision refusedFor(FailureCode code, String reason) {
    return new AdmissionDecision(null, NO_ORGANISATION, AllowedRegions.ALL, code, reason);
  }

  /** Returns a refusal of this operation, which was admitted before. */
  AdmissionDecision withRefusal(FailureCode code, String explanation) {
    return new AdmissionDecision(route, organisation, allowed, code, explanation);
  }
}
