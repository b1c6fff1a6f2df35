package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.statement.Statement;
import java.util.function.Consumer;

/** A caller's open transaction, wherever its target connection is held. */
interface OpenTransaction {
  /** Runs a statement or the commit. */
  void run(Statement next, long receivedNanos, Consumer<StatementOutcome> onResult);

  /** Rolls back what is open. No result is given after that. */
  void rollback();

  /** Returns when it was last used; it is in use while a statement runs. */
  long lastUsedNanos();
}
