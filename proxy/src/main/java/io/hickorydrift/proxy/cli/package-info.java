/** Command line interface. */
package io.hickorydrift.proxy.cli;
