/** Reads session tokens. */
package io.hickorydrift.core.session.decoder;
