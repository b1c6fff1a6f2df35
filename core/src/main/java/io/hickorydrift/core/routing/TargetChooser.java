package io.hickorydrift.core.routing;

import io.hickorydrift.core.flow.ReadRequest;
import java.util.List;
import java.util.Set;

/** Policy that selects and ranks the targets for a read. Implementations are stateless. */
public interface TargetChooser {
  /**
   * Returns the targets to try, best first, without those in {@code tried} and without replicas
   * that are leaving.
   */
  List<TargetView> rank(GroupView view, ReadRequest request, Set<String> tried, long nowNanos);
}
