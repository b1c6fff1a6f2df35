/** Messages and stored values, generated from schema/messages.json. */
package io.hickorydrift.core.message;
