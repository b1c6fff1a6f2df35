/** Control worker: membership, slots and settings; routing to homes and rate limits. */
package io.hickorydrift.proxy.control;
