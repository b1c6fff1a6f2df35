package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Declaration;
import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.CallerMessage;
import io.hickorydrift.core.statement.FailureCode;

/**
 * Decides whether callers may open sessions. While the instance starts, a caller waits until the
 * statements of its session can be served.
 *
 * <p>Thread safety: confined to the loop's thread.
 */
final class SessionOpenings {
  /** Why a session is not opened. */
  record Refusal(FailureCode code, String reason) {}

  private final Declarations declarations;
  private final HomeRouter homes;
  private final StartHold hold;

  SessionOpenings(Declarations declarations, HomeRouter homes, StartHold hold) {
    this.declarations = declarations;
    this.homes = homes;
    this.hold = hold;
  }

  /** Runs {@code action} once statements of the session can be served, or after a bounded time. */
  void whenServable(CallerMessage.Open open, Runnable action) {
    hold.run(() -> isServable(open), action);
  }

  private boolean isServable(CallerMessage.Open open) {
    if (refusal(open) != null) {
      return true;
    }
    Route route = declarations.current().routes().get(open.database());
    return (route.allowsAnonymous() || declarations.keysConfirmedCurrent()) && reachesHome(route);
  }

  private boolean reachesHome(Route route) {
    boolean needsPrimary = SingleStatement.needsPrimary(route, false);
    return homes.isDirect(route.group())
        || homes.isHome(route.group())
        || homes.remoteLink(route.group(), needsPrimary, AllowedRegions.ALL) != null;
  }

  /** Checks the link to the home of the session's group, so that its first statement need not. */
  void checkLink(String database) {
    Route route = declarations.current().routes().get(database);
    homes.checkLink(route.group(), SingleStatement.needsPrimary(route, false));
  }

  /** Returns why the session is not opened, or null if it is. */
  Refusal refusal(CallerMessage.Open open) {
    Declaration declaration = declarations.current();
    Route route = declaration.routes().get(open.database());
    if (declaration == Declaration.NONE) {
      return new Refusal(FailureCode.BUSY, StartHold.NOT_LOADED);
    }
    if (route == null) {
      return new Refusal(FailureCode.UNKNOWN_DATABASE, "no such database");
    }
    boolean known = declaration.keyOwners().containsKey(open.credential());
    return known || route.allowsAnonymous()
        ? null
        : new Refusal(FailureCode.UNAUTHORIZED, "key is unknown");
  }
}
