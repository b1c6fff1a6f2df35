package io.hickorydrift.core.statement;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The names of the statements that are prepared on a target connection, the least recently used
 * first.
 *
 * <p>Invariant: at most {@link #MAX_NAMES}. Thread safety: confined to one thread.
 */
public final class PreparedNames {
  /**
   * Maximum number of names on a connection. The callers of an organisation share its connections,
   * and the target keeps the shape of each name.
   */
  public static final int MAX_NAMES = 256;

  private final Set<String> names = new LinkedHashSet<>();

  /** Records a use of {@code name}. Returns whether it is prepared. */
  public boolean use(String name) {
    return names.remove(name) && names.add(name);
  }

  /**
   * Adds a name that is about to be prepared. Returns the least recently used name, which has to be
   * closed first and is removed, or null if there is room.
   */
  public String add(String name) {
    String closed = null;
    if (names.size() >= MAX_NAMES) {
      Iterator<String> oldest = names.iterator();
      closed = oldest.next();
      oldest.remove();
    }
    names.add(name);
    return closed;
  }

  /** Removes a name that the target has not prepared. */
  public void remove(String name) {
    names.remove(name);
  }

  /** Removes all names. */
  public void clear() {
    names.clear();
  }
}
