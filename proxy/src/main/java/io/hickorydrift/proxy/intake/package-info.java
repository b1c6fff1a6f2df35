/** HTTP server for callers and operators. */
package io.hickorydrift.proxy.intake;
