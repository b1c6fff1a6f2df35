package io.hickorydrift.core.routing;

import io.hickorydrift.core.flow.ReadRequest;
import java.util.List;
import java.util.Set;

/** Sends each read to the primary: the baseline that needs no knowledge of replicas. */
public final class PrimaryOnly implements TargetChooser {
  @Override
  public List<TargetView> rank(
      GroupView view, ReadRequest demand, Set<String> tried, long nowNanos) {
    TargetView primary = view.target(view.primary());
    return primary == null || tried.contains(primary.id()) ? List.of() : List.of(primary);
  }
}
