/** Sessions as connections: callers' statements on their way to targets. */
package io.hickorydrift.proxy.gateway;
