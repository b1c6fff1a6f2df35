/** HTTP for callers and operators. */
package io.hickorydrift.proxy.intake;
