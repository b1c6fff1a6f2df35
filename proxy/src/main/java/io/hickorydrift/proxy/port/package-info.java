/** What the gateway asks of the platform that it runs on; an adapter implements these. */
package io.hickorydrift.proxy.port;
