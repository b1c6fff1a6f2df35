/** Generates the message records of the core module from {@code schema/messages.json}. */
package io.hickorydrift.schema;
