/** Event loop: selector, timers, TCP connections, HTTP client and server. */
package io.hickorydrift.proxy.net;
