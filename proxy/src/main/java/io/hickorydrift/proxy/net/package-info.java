/** One network thread: selector, timers, connections and HTTP messages. */
package io.hickorydrift.proxy.net;
