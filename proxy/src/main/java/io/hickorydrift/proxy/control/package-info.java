/** Control duty: membership, slots, settings and allowances. */
package io.hickorydrift.proxy.control;
