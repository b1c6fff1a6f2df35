/** Summaries of an instance's logs, for on-call engineers. */
package io.hickorydrift.proxy.diagnosis;
