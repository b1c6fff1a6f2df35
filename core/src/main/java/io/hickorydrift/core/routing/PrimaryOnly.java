package io.hickorydrift.core.routing;

import io.hickorydrift.core.flow.ReadRequest;
import java.util.List;
import java.util.Set;

/** Sends every read to the primary: the baseline, which needs no state of the replicas. */
public final class PrimaryOnly implements TargetChooser {
  @Override
  public List<TargetView> rank(
      GroupView view, ReadRequest request, Set<String> tried, long nowNanos) {
    TargetView primary = view.target(view.primary());
    return primary == null || tried.contains(primary.id()) ? List.of() : List.of(primary);
  }
}
