package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.placement.AllowedRegions;
import io.hickorydrift.core.statement.Statement;
import java.util.function.Consumer;

/** A caller's open transaction, run by this instance or by the group's home. */
interface OpenTransaction {
  /**
   * Runs a statement or the commit of the transaction. {@code allowed} are the regions that may run
   * it by the declaration in force now.
   */
  void run(
      Statement next,
      AllowedRegions allowed,
      long receivedNanos,
      Consumer<StatementOutcome> onOutcome);

  /** Rolls the transaction back. No outcome is delivered after that. */
  void rollback();

  /** Returns the time of its last use, which is the current time while a statement runs. */
  long lastUsedNanos();
}
