/** Command line. */
package io.hickorydrift.proxy.cli;
