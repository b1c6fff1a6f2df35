/** Interfaces between the gateway and the platform that it runs on; an adapter implements them. */
package io.hickorydrift.proxy.port;
